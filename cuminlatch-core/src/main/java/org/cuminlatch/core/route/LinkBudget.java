package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;

/**
 * Bytes that one node may send and receive across the link between the regions.
 *
 * <p>A token bucket: it fills at the given rate up to one burst. A call is let through while bytes
 * are left; what it moves is taken afterwards and may bring the bucket below zero. Safe for use by
 * many threads.
 */
public final class LinkBudget {

  private static final Duration BURST = Duration.ofSeconds(5);

  private final long bytesPerSecond;
  private double bytes;
  private Instant filledAt;

  /**
   * Creates a full bucket.
   *
   * @param bytesPerSecond rate at which it fills
   * @param now present time
   */
  public LinkBudget(long bytesPerSecond, Instant now) {
    check(bytesPerSecond >= 0, "bytesPerSecond", "must not be negative");
    this.bytesPerSecond = bytesPerSecond;
    this.bytes = burst();
    this.filledAt = notNull(now, "now");
  }

  /**
   * Returns whether another call may cross the link.
   *
   * @param now present time
   * @return true while bytes are left
   */
  public synchronized boolean allows(Instant now) {
    fill(now);
    return bytes > 0;
  }

  /**
   * Takes the bytes that a call has moved.
   *
   * @param count bytes sent and received
   * @param now present time
   */
  public synchronized void spend(long count, Instant now) {
    fill(now);
    bytes -= count;
  }

  private void fill(Instant now) {
    if (now.isAfter(filledAt)) {
      double seconds = Duration.between(filledAt, now).toNanos() / 1e9;
      bytes = Math.min(burst(), bytes + seconds * bytesPerSecond);
      filledAt = now;
    }
  }

  private double burst() {
    return (double) bytesPerSecond * BURST.toSeconds();
  }
}
