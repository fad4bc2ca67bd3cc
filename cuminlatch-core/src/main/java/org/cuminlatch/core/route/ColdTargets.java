package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.membership.Member;

/**
 * Targets that are cold, as their nodes have told, and the share of the calls that they are
 * offered.
 *
 * <p>While it is cold, a target gets only a limited number of requests per second from all nodes
 * together. A node knows neither what the others send nor what the target has just got. It
 * therefore leaves a cold target out of most choices, so that the target is offered a share of the
 * calls that corresponds to its rate: at most that rate if the warm targets are fully loaded. Not
 * thread-safe.
 */
public final class ColdTargets {

  /** Latency that is assumed before any warm target of the service has answered. */
  private static final double INITIAL_LATENCY_SECONDS = 0.1;

  private final Map<String, Cold> byInstance = new HashMap<>();

  private record Cold(double perSecond, Instant until) {}

  /**
   * Records what the node of a target tells.
   *
   * @param instance instance of the target
   * @param perSecond requests per second that the target gets while it is cold
   * @param until end of the time for which it is cold
   * @param now current time
   */
  public void update(String instance, double perSecond, Instant until, Instant now) {
    notNull(instance, "instance");
    check(perSecond > 0, "perSecond", "must be positive");
    byInstance.values().removeIf(cold -> !now.isBefore(cold.until()));
    if (now.isBefore(until)) {
      byInstance.put(instance, new Cold(perSecond, until));
    } else {
      byInstance.remove(instance);
    }
  }

  /**
   * Records that a target is not cold.
   *
   * @param instance instance of the target
   */
  public void remove(String instance) {
    byInstance.remove(instance);
  }

  /**
   * Returns the members that a call is offered to: all warm ones, and each cold one with a
   * probability that corresponds to its rate.
   *
   * @param members members that may run the call
   * @param loads observed latencies
   * @param now current time
   * @param random source of randomness
   * @return the members; all of them if all are cold
   */
  List<Member> offered(
      List<Member> members, TargetLoads loads, Instant now, RandomGenerator random) {
    if (byInstance.isEmpty() || members.stream().allMatch(member -> isCold(member, now))) {
      return members;
    }
    double latencySeconds = warmLatencySeconds(members, loads, now);
    List<Member> offered = new ArrayList<>(members.size());
    for (Member member : members) {
      if (!isCold(member, now) || random.nextDouble() < shareOfWarm(member, latencySeconds)) {
        offered.add(member);
      }
    }
    return offered;
  }

  private boolean isCold(Member member, Instant now) {
    Cold cold = byInstance.get(member.instance());
    return cold != null && now.isBefore(cold.until());
  }

  /** Returns the rate of a cold target in relation to that of a fully loaded warm one. */
  private double shareOfWarm(Member member, double latencySeconds) {
    double warmPerSecond = Math.max(1, member.slots()) / latencySeconds;
    return byInstance.get(member.instance()).perSecond() / warmPerSecond;
  }

  private double warmLatencySeconds(List<Member> members, TargetLoads loads, Instant now) {
    return members.stream()
        .filter(member -> !isCold(member, now))
        .mapToDouble(member -> loads.of(member.instance(), now).lastLatencyMillis() / 1e3)
        .filter(latency -> latency > 0)
        .average()
        .orElse(INITIAL_LATENCY_SECONDS);
  }
}
