package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A configuration record as stored on the log, with its bodies still encoded.
 *
 * <p>The envelope holds everything that the fold needs to accept or refuse a record, so that a node
 * reaches the same verdict whether or not it can read the newer bodies. Its format never changes.
 *
 * @param recordId unique id chosen by the appender; the fold refuses another record with the same
 *     id
 * @param kind name of the kind, one of {@link RecordKinds} or an extension kind of a newer release
 * @param resource name of the resource that the record is about
 * @param expectedVersion version of the resource that the operator last read: the offset of its
 *     last accepted record plus one; 0 requires that the resource does not exist; empty skips the
 *     check
 * @param references resources that the bodies refer to and that must exist
 * @param bodies the same resource in one or more schema versions, ascending; an empty list removes
 *     a resource of an extension kind
 */
public record RecordEnvelope(
    String recordId,
    String kind,
    String resource,
    OptionalLong expectedVersion,
    List<ResourceKey> references,
    List<SchemaBody> bodies) {

  /** Maximum size of a body that the fold accepts, in bytes. */
  public static final int MAX_BODY_BYTES = 16 * 1024;

  /** Maximum size of an encoded record that the fold accepts, in bytes. */
  public static final int MAX_RECORD_BYTES = 64 * 1024;

  /** Maximum number of characters in a record id or a name. */
  public static final int MAX_NAME_LENGTH = 128;

  /** Maximum number of references of a record. */
  public static final int MAX_REFERENCES = 32;

  /** Schema version that every release can read. */
  public static final int BASE_SCHEMA_VERSION = 1;

  /** Validates the components and copies the lists. */
  public RecordEnvelope {
    requireName(recordId, "recordId");
    requireName(kind, "kind");
    requireName(resource, "resource");
    notNull(expectedVersion, "expectedVersion");
    check(expectedVersion.orElse(0) >= 0, "expectedVersion", "must not be negative");
    references = List.copyOf(notNull(references, "references"));
    check(
        references.size() <= MAX_REFERENCES,
        "references",
        "must contain at most " + MAX_REFERENCES);
    references.forEach(reference -> requireName(reference.name(), "references"));
    bodies = List.copyOf(notNull(bodies, "bodies"));
    check(isAscending(bodies), "bodies", "must be ascending by schema version");
  }

  /**
   * Returns the key of the resource that the record is about.
   *
   * @return kind and name
   */
  public ResourceKey key() {
    return new ResourceKey(kind, resource);
  }

  /**
   * Returns the body in a schema version.
   *
   * @param schemaVersion the schema version
   * @return the body, empty if the record carries none in that version
   */
  public Optional<SchemaBody> body(int schemaVersion) {
    return bodies.stream().filter(body -> body.schemaVersion() == schemaVersion).findFirst();
  }

  private static void requireName(String value, String name) {
    notBlank(value, name);
    check(
        value.length() <= MAX_NAME_LENGTH,
        name,
        "must have at most " + MAX_NAME_LENGTH + " characters");
    check(
        value.chars().noneMatch(Character::isISOControl),
        name,
        "must not contain control characters");
  }

  private static boolean isAscending(List<SchemaBody> bodies) {
    for (int i = 1; i < bodies.size(); i++) {
      if (bodies.get(i).schemaVersion() <= bodies.get(i - 1).schemaVersion()) {
        return false;
      }
    }
    return true;
  }
}
