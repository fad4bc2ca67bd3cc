package org.cuminlatch.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Shares of a target's slots by client account, in proportion to the weights of the accounts and
 * counted by work.
 *
 * <p>The work that each account has got lately is summed up with an exponential decay. An account
 * is over its share if it has got clearly more than its part of the work, by weight, of all
 * accounts that have been active lately. What it gets counts, not what it sends: an account that is
 * put last for a while is within its share again, and is never cut below it.
 */
final class AccountShares {

  /** Long enough for several requests of a large account, and shorter than a burst. */
  static final Duration DECAY_TIME = Duration.ofSeconds(2);

  /** Excess over the share that is due to chance for an account that sends its usual. */
  static final double TOLERANCE = 1.25;

  /**
   * Requests that each account may have got beyond its share. The requests of a small account reach
   * a target at random, and there are fewer of them than targets.
   */
  static final double FREE_REQUESTS = 2;

  /**
   * Time after its last request for which an account counts as active. Long enough for the small
   * accounts, of whose requests a single target gets one in some tens of seconds.
   */
  static final Duration ACTIVE_TIME = Duration.ofSeconds(30);

  private static final double MEAN_WEIGHT_SMOOTHING = 0.05;

  private final Map<String, Usage> usages = new HashMap<>();
  private double allWork;
  private double allWeights;
  private double meanWeight = 1;
  private Instant updatedAt = Instant.MIN;

  private static final class Usage {
    private double work;
    private double weight;
    private Instant lastAt;
  }

  /** Records that a request got a slot, with its expected service time. */
  void onAdmitted(RequestOrigin origin, double work, Instant now) {
    if (origin.account().isEmpty()) {
      return;
    }
    decay(now);
    Usage usage = usages.computeIfAbsent(origin.account(), account -> new Usage());
    allWeights += weight(origin) - usage.weight;
    usage.weight = weight(origin);
    usage.lastAt = now;
    usage.work += work;
    allWork += work;
    if (origin.weight() > 0) {
      meanWeight += MEAN_WEIGHT_SMOOTHING * (origin.weight() - meanWeight);
    }
  }

  /** Returns whether the account of a request has got more than its share of the work. */
  boolean isOverShare(RequestOrigin origin, double work) {
    Usage usage = origin.account().isEmpty() ? null : usages.get(origin.account());
    return usage != null
        && usage.work > TOLERANCE * allWork * usage.weight / allWeights + FREE_REQUESTS * work;
  }

  /** Returns the weight of an account; that of an average one if it has none of its own. */
  private double weight(RequestOrigin origin) {
    return origin.weight() > 0 ? origin.weight() : meanWeight;
  }

  private void decay(Instant now) {
    double elapsed = updatedAt.equals(Instant.MIN) ? 0 : Duration.between(updatedAt, now).toNanos();
    updatedAt = now;
    double factor = Math.exp(-elapsed / DECAY_TIME.toNanos());
    allWork = 0;
    allWeights = 0;
    for (Iterator<Usage> each = usages.values().iterator(); each.hasNext(); ) {
      Usage usage = each.next();
      usage.work *= factor;
      if (usage.lastAt.plus(ACTIVE_TIME).isBefore(now)) {
        each.remove();
      } else {
        allWork += usage.work;
        allWeights += usage.weight;
      }
    }
  }
}
