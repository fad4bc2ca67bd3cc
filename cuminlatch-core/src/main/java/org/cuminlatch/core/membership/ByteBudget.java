package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.check;

import java.time.Duration;
import java.time.Instant;

/** Token bucket that limits the bytes sent to an average rate with bursts up to a maximum. */
public final class ByteBudget {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double bytesPerSecond;
  private final double burstBytes;
  private double availableBytes;
  private Instant refilledAt;

  private ByteBudget(double bytesPerSecond, double burstBytes) {
    this.bytesPerSecond = bytesPerSecond;
    this.burstBytes = burstBytes;
    this.availableBytes = burstBytes;
  }

  /**
   * Creates a budget that starts full.
   *
   * @param bytesPerSecond average rate
   * @param burstBytes maximum number of unused bytes that accumulate
   * @return the budget
   */
  public static ByteBudget of(double bytesPerSecond, double burstBytes) {
    check(bytesPerSecond > 0, "bytesPerSecond", "must be positive");
    check(burstBytes > 0, "burstBytes", "must be positive");
    return new ByteBudget(bytesPerSecond, burstBytes);
  }

  /**
   * Acquires bytes if the budget holds that many. A message larger than the burst is allowed when
   * the budget is full; the balance is then negative until it has been refilled.
   *
   * @param bytes size of the message
   * @param now the time
   * @return whether the message may be sent
   */
  public boolean tryAcquire(int bytes, Instant now) {
    refill(now);
    if (availableBytes < Math.min(bytes, burstBytes)) {
      return false;
    }
    availableBytes -= bytes;
    return true;
  }

  /**
   * Returns the number of bytes that may be sent now.
   *
   * @param now the time
   * @return the available bytes, 0 while the balance is negative
   */
  public int availableBytes(Instant now) {
    refill(now);
    return (int) Math.max(0, availableBytes);
  }

  private void refill(Instant now) {
    if (refilledAt != null && now.isAfter(refilledAt)) {
      double seconds = Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND;
      availableBytes = Math.min(burstBytes, availableBytes + seconds * bytesPerSecond);
    }
    if (refilledAt == null || now.isAfter(refilledAt)) {
      refilledAt = now;
    }
  }
}
