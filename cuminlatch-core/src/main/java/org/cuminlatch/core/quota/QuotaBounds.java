package org.cuminlatch.core.quota;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import org.cuminlatch.core.config.ClientAccount.Quota;

/**
 * Bound on the requests of an account that all nodes run, and how the allocation keeps it.
 *
 * <p>An account may use its burst in every {@link #PERIOD}, and the bound allows a tenth and
 * {@value #FIXED_SLACK} requests beyond that, the slack. The token bucket of an account therefore
 * fills at the rate and the burst over a period. The slack is divided between the fill rate, so
 * that tokens that are lost leave no account below its quota, the capacity of the bucket, against
 * which the tokens count that nodes hold, and the moments in which two allocators grant.
 */
public final class QuotaBounds {

  /** Period over which the requests of an account are limited. */
  public static final Duration PERIOD = Duration.ofSeconds(5);

  /** Time for which a node may use a token, counted from its request for it. */
  public static final Duration TOKEN_LIFETIME = Duration.ofSeconds(1);

  private static final double RELATIVE_SLACK = 0.1;
  private static final int FIXED_SLACK = 20;

  /** Part of the slack that is added to what the bucket fills by in a period. */
  private static final double FILL_PART = 0.05;

  /**
   * Part of the slack that is the capacity. What remains is for changes of the allocator and for
   * requests that wait for a token: of those sent in a period, some run after it.
   */
  private static final double CAPACITY_PART = 0.5;

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
    return CAPACITY_PART * slack(notNull(quota, "quota"));
  }

  /**
   * Returns the rate at which the bucket of an account fills.
   *
   * @param quota quota of the account
   * @return tokens per second, at least the rate of the quota and its burst over a period
   */
  public static double fillRate(Quota quota) {
    double perPeriod = nominal(notNull(quota, "quota")) + FILL_PART * slack(quota);
    return perPeriod / seconds(PERIOD);
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
