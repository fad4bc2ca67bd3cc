package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.notBlank;

import java.time.Instant;
import java.util.Optional;
import java.util.UUID;

/**
 * Key by which a caller marks its submissions of one request.
 *
 * @param scope route, method and path of the request
 * @param value value that the caller chose
 */
public record IdempotencyKey(String scope, String value) {

  private static final int VERSION_WITH_TIME = 7;
  private static final int TIME_SHIFT = 16;
  private static final int UUID_LENGTH = 36;

  /** Checks the fields. */
  public IdempotencyKey {
    notBlank(scope, "scope");
    notBlank(value, "value");
  }

  /**
   * Returns when the key was made, as a UUID of version 7 (RFC 9562) tells.
   *
   * @return the time, empty if the key is of another kind
   */
  public Optional<Instant> createdAt() {
    if (value.length() != UUID_LENGTH) {
      return Optional.empty();
    }
    try {
      UUID uuid = UUID.fromString(value);
      return uuid.version() == VERSION_WITH_TIME
          ? Optional.of(Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> TIME_SHIFT))
          : Optional.empty();
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }
}
