package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Rules for the calls of a route, in addition to its {@link CallLimits}.
 *
 * @param repeatability whether a call may be executed more than once
 * @param goal time within which an answer is worth most to the caller
 * @param priority priority of the route, 0 is the highest
 * @param split services that share the calls by weight; empty if the route has one service
 * @param publicAccess whether callers need no key although the configuration has client accounts
 * @param homeRegions regions in which the calls may run; empty if they may run in any
 */
public record RoutePolicy(
    Repeatability repeatability,
    Duration goal,
    int priority,
    List<Share> split,
    boolean publicAccess,
    Set<String> homeRegions) {

  /** Policy of a route that sets none: the method decides, no goal, the highest priority. */
  public static final RoutePolicy DEFAULT =
      new RoutePolicy(
          Repeatability.BY_METHOD, CallLimits.MAX_TIMEOUT, 0, List.of(), false, Set.of());

  /** Validates the components and copies the split. */
  public RoutePolicy {
    notNull(repeatability, "repeatability");
    notNull(goal, "goal");
    notNegative(priority, "priority");
    split = List.copyOf(notNull(split, "split"));
    homeRegions = Set.copyOf(notNull(homeRegions, "homeRegions"));
  }

  /** Whether a call may be executed more than once. */
  public enum Repeatability {
    /** The method or a header of the request decides, see {@link CallLimits}. */
    BY_METHOD,
    /** Any call of the route may be repeated. */
    IDEMPOTENT,
    /** No call of the route may be repeated. */
    ONCE
  }

  /**
   * Share of the calls that one service receives.
   *
   * @param service name of the service
   * @param weight share relative to the sum of all weights
   */
  public record Share(String service, double weight) {

    /** Validates the components. */
    public Share {
      notBlank(service, "service");
      check(weight >= 0, "weight", "must not be negative");
    }
  }
}
