package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Client account whose callers identify themselves with an API key.
 *
 * @param name unique name, which targets are told
 * @param apiKeys keys that are valid at present; may be empty
 * @param priority priority of the account's calls, 0 is the highest; empty if that of the route
 *     applies
 * @param quota limit on the account's calls at all nodes together; empty if there is none
 * @param homeRegions regions in which the account's calls may run; empty if they may run in any
 */
public record ClientAccount(
    String name,
    Set<String> apiKeys,
    OptionalInt priority,
    Optional<Quota> quota,
    Set<String> homeRegions) {

  /** Validates the components and copies the keys. */
  public ClientAccount {
    notBlank(name, "name");
    apiKeys = Set.copyOf(notNull(apiKeys, "apiKeys"));
    notNull(priority, "priority");
    check(priority.orElse(0) >= 0, "priority", "must not be negative");
    notNull(quota, "quota");
    homeRegions = Set.copyOf(notNull(homeRegions, "homeRegions"));
  }

  /**
   * Limit on the calls of an account: a token bucket that is full at first.
   *
   * @param perSecond sustained rate in calls per second; more than 0
   * @param burst number of calls beyond that rate; not negative
   */
  public record Quota(double perSecond, double burst) {

    /** Validates the components. */
    public Quota {
      check(perSecond > 0 && perSecond < Double.POSITIVE_INFINITY, "perSecond", "must be positive");
      check(burst >= 0 && burst < Double.POSITIVE_INFINITY, "burst", "must not be negative");
    }
  }

  /** Omits the keys, which must not appear in logs. */
  @Override
  public String toString() {
    return "ClientAccount[name="
        + name
        + ", priority="
        + priority
        + ", quota="
        + quota
        + ", homeRegions="
        + homeRegions
        + "]";
  }
}
