package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the bytes that one node sends and receives across the link between the regions.
 *
 * <p>A token bucket that holds bytes: it fills at a given rate up to the burst size. A call is
 * allowed while bytes are left; the bytes that it transferred are subtracted afterwards and may
 * make the balance negative. Thread-safe.
 */
public final class LinkBudget {

  private static final Duration BURST_DURATION = Duration.ofSeconds(5);

  private final long bytesPerSecond;
  private double availableBytes;
  private Instant lastFill;

  /**
   * Creates a full bucket.
   *
   * @param bytesPerSecond fill rate; must not be negative
   * @param now current time
   */
  public LinkBudget(long bytesPerSecond, Instant now) {
    check(bytesPerSecond >= 0, "bytesPerSecond", "must not be negative");
    this.bytesPerSecond = bytesPerSecond;
    this.availableBytes = burstBytes();
    this.lastFill = notNull(now, "now");
  }

  /**
   * Returns whether another call may cross the link between the regions.
   *
   * @param now current time
   * @return true while bytes are left
   */
  public synchronized boolean allows(Instant now) {
    refill(now);
    return availableBytes > 0;
  }

  /**
   * Subtracts the bytes that a call has transferred.
   *
   * @param count number of bytes sent and received
   * @param now current time
   */
  public synchronized void spend(long count, Instant now) {
    refill(now);
    availableBytes -= count;
  }

  private void refill(Instant now) {
    if (now.isAfter(lastFill)) {
      double seconds = Duration.between(lastFill, now).toNanos() / 1e9;
      availableBytes = Math.min(burstBytes(), availableBytes + seconds * bytesPerSecond);
      lastFill = now;
    }
  }

  private double burstBytes() {
    return (double) bytesPerSecond * BURST_DURATION.toSeconds();
  }
}
