package org.cuminlatch.node.control;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether a started node may serve: it must hold the configuration version that it had in
 * its last life, as its peers remember it.
 *
 * <p>Once ready, a node stays ready. Without an answer from any peer the node waits for {@link
 * #ALONE_AFTER}, then takes itself for the first of its mesh.
 */
final class Readiness {

  /** Time without an answer from a peer after which a node takes itself for the first. */
  static final Duration ALONE_AFTER = Duration.ofSeconds(5);

  private final Instant startedAt;
  private boolean ready;

  Readiness(Instant startedAt) {
    this.startedAt = notNull(startedAt, "startedAt");
  }

  /**
   * Decides.
   *
   * @param floor lowest version to serve with, empty if no peer has answered
   * @param version configuration version in force
   * @param now the time
   * @return why the node is not ready, empty if it is
   */
  Optional<String> blockedBy(OptionalLong floor, long version, Instant now) {
    if (ready) {
      return Optional.empty();
    }
    Optional<String> reason = reasonOf(floor, version, now);
    ready = reason.isEmpty();
    return reason;
  }

  private Optional<String> reasonOf(OptionalLong floor, long version, Instant now) {
    if (floor.isEmpty() && now.isBefore(startedAt.plus(ALONE_AFTER))) {
      return Optional.of("no peer has told the floor yet");
    }
    if (version < floor.orElse(0)) {
      return Optional.of("version " + version + " is below the floor " + floor.getAsLong());
    }
    if (version == 0) {
      return Optional.of("no configuration yet");
    }
    return Optional.empty();
  }
}
