package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.notBlank;

import java.time.Instant;
import java.util.Optional;
import java.util.UUID;

/**
 * Key that marks all submissions of one request by its caller.
 *
 * @param scope route, method and path of the request
 * @param value value of the key as set by the caller
 */
public record IdempotencyKey(String scope, String value) {

  private static final int TIME_ORDERED_UUID_VERSION = 7;
  private static final int UUID_TIMESTAMP_SHIFT = 16;
  private static final int UUID_LENGTH = 36;

  /** Validates the components. */
  public IdempotencyKey {
    notBlank(scope, "scope");
    notBlank(value, "value");
  }

  /**
   * Returns the creation time of the key, which a UUID of version 7 (RFC 9562) contains.
   *
   * @return the time; empty if the key has another form
   */
  public Optional<Instant> createdAt() {
    if (value.length() != UUID_LENGTH) {
      return Optional.empty();
    }
    try {
      UUID uuid = UUID.fromString(value);
      return uuid.version() == TIME_ORDERED_UUID_VERSION
          ? Optional.of(
              Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> UUID_TIMESTAMP_SHIFT))
          : Optional.empty();
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }
}
