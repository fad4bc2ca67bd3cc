package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Optional;

/** Event that a replica emits while it folds records. */
public sealed interface FoldEvent {

  /**
   * A record was accepted or refused.
   *
   * @param offset offset of the record
   * @param recordId id of the record, empty if the record is unreadable
   * @param resource key of the resource, empty if the record is unreadable
   * @param refusal reason why it was refused, empty if it was accepted
   */
  record Decided(
      long offset,
      Optional<String> recordId,
      Optional<ResourceKey> resource,
      Optional<Refusal> refusal)
      implements FoldEvent {

    /** Validates the components. */
    public Decided {
      notNull(recordId, "recordId");
      notNull(resource, "resource");
      notNull(refusal, "refusal");
    }

    /**
     * Returns whether the record was accepted.
     *
     * @return true if there is no refusal
     */
    public boolean isAccepted() {
      return refusal.isEmpty();
    }
  }

  /**
   * An accepted record has no body that this instance can read; an older version, if any, remains
   * in force.
   *
   * @param resource key of the resource
   * @param status version on the log and version in force here
   */
  record Unreadable(ResourceKey resource, ResourceStatus status) implements FoldEvent {

    /** Validates the components. */
    public Unreadable {
      notNull(resource, "resource");
      notNull(status, "status");
    }
  }

  /**
   * Records arrived after a missing offset; they were not folded.
   *
   * @param expected offset of the next record to fold
   * @param found offset of the first record that arrived after the gap
   */
  record OffsetGap(long expected, long found) implements FoldEvent {}
}
