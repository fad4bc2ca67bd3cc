package org.cuminlatch.core.quota;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import org.cuminlatch.core.config.ClientAccount.Quota;

/**
 * Bound on the requests of an account that all nodes run, and how the allocation keeps it.
 *
 * <p>The bound allows a tenth and {@value #FIXED_SLACK} requests beyond the quota, its slack. An
 * account whose demand stays above its rate for several periods may use its burst in each of them,
 * so that a part of the burst is added to the rate at which its token bucket fills, and only the
 * rest to the capacity. Most of the slack raises the capacity, too, as the tokens that nodes hold
 * count against it. What remains covers two allocators that grant for a moment.
 */
public final class QuotaBounds {

  /** Period over which the requests of an account are limited. */
  public static final Duration PERIOD = Duration.ofSeconds(5);

  /** Time for which a node may use a token, counted from its request for it. */
  public static final Duration TOKEN_LIFETIME = Duration.ofSeconds(1);

  private static final double RELATIVE_SLACK = 0.1;
  private static final int FIXED_SLACK = 20;

  /** Part of the slack that raises the capacity; changes of the allocator need the rest. */
  private static final double CAPACITY_PART = 0.8;

  /**
   * Part of the burst by which the bucket fills in each period. With more, the capacity is too
   * small for the tokens that nodes hold at usual demand.
   */
  private static final double REFILLED_BURST_PART = 0.6;

  private QuotaBounds() {}

  /**
   * Returns the largest number of requests of an account that may run in any period.
   *
   * @param quota quota of the account
   * @return the number of requests
   */
  public static double maxPerPeriod(Quota quota) {
    return nominal(notNull(quota, "quota")) + slack(quota);
  }

  /**
   * Returns the number of tokens that an allocator may hold and have granted in the last {@link
   * #TOKEN_LIFETIME}.
   *
   * @param quota quota of the account
   * @return the capacity in tokens
   */
  public static double capacity(Quota quota) {
    return (1 - REFILLED_BURST_PART) * notNull(quota, "quota").burst()
        + CAPACITY_PART * slack(quota);
  }

  /**
   * Returns the rate at which the bucket of an account fills.
   *
   * @param quota quota of the account
   * @return tokens per second, at least the rate of the quota
   */
  public static double fillRate(Quota quota) {
    return notNull(quota, "quota").perSecond()
        + REFILLED_BURST_PART * quota.burst() / seconds(PERIOD);
  }

  private static double nominal(Quota quota) {
    return quota.perSecond() * seconds(PERIOD) + quota.burst();
  }

  private static double slack(Quota quota) {
    return RELATIVE_SLACK * nominal(quota) + FIXED_SLACK;
  }

  static double seconds(Duration time) {
    return time.toNanos() / 1e9;
  }
}
