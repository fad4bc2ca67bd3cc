package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.check;

import java.time.Duration;
import java.time.Instant;

/** Token bucket that limits how many bytes are sent: an average rate and a burst. */
public final class ByteBudget {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double bytesPerSecond;
  private final double burstBytes;
  private double available;
  private Instant filledAt;

  private ByteBudget(double bytesPerSecond, double burstBytes) {
    this.bytesPerSecond = bytesPerSecond;
    this.burstBytes = burstBytes;
    this.available = burstBytes;
  }

  /**
   * Creates a full budget.
   *
   * @param bytesPerSecond average rate
   * @param burstBytes most bytes that may be saved up
   * @return the budget
   */
  public static ByteBudget of(double bytesPerSecond, double burstBytes) {
    check(bytesPerSecond > 0, "bytesPerSecond", "must be positive");
    check(burstBytes > 0, "burstBytes", "must be positive");
    return new ByteBudget(bytesPerSecond, burstBytes);
  }

  /**
   * Takes bytes out of the budget if it holds as many; one message larger than the burst passes
   * when the budget is full and leaves it in debt.
   *
   * @param bytes size of the message
   * @param now the time
   * @return whether the message may be sent
   */
  public boolean tryTake(int bytes, Instant now) {
    fill(now);
    if (available < Math.min(bytes, burstBytes)) {
      return false;
    }
    available -= bytes;
    return true;
  }

  /**
   * Returns how many bytes may be sent now.
   *
   * @param now the time
   * @return the bytes available, 0 while in debt
   */
  public int available(Instant now) {
    fill(now);
    return (int) Math.max(0, available);
  }

  private void fill(Instant now) {
    if (filledAt != null && now.isAfter(filledAt)) {
      double seconds = Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND;
      available = Math.min(burstBytes, available + seconds * bytesPerSecond);
    }
    if (filledAt == null || now.isAfter(filledAt)) {
      filledAt = now;
    }
  }
}
