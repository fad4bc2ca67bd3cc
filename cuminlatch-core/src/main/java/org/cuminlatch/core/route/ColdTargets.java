package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;

/**
 * Targets that are cold, as their nodes have told, and the share of the calls that they are
 * offered.
 *
 * <p>While it is cold, a target gets only a limited number of requests per second from all nodes
 * together. A node knows neither what the others send nor what the target has just got. Each node
 * therefore divides its calls between cold and warm targets in proportion to what they can serve.
 * Together, the nodes then offer a cold target at most its rate, unless all targets are overloaded.
 * Not thread-safe.
 */
public final class ColdTargets {

  /** Service time that is assumed before any warm target of the service has answered. */
  private static final double INITIAL_SERVICE_SECONDS = 0.1;

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
   * Divides the candidates of a call.
   *
   * @param candidates members that may run the call
   * @param ownLocality locality of the node that sends the call
   * @param loads observed loads
   * @param now current time
   * @return the division; empty if all candidates are warm or all are cold
   */
  Optional<Division> divide(
      List<Member> candidates, Locality ownLocality, TargetLoads loads, Instant now) {
    if (byInstance.isEmpty()) {
      return Optional.empty();
    }
    List<Member> cold = new ArrayList<>();
    List<Member> warm = new ArrayList<>(candidates.size());
    for (Member member : candidates) {
      (isCold(member, now) ? cold : warm).add(member);
    }
    if (cold.isEmpty() || warm.isEmpty()) {
      return Optional.empty();
    }
    // the targets of another region are for the calls of its own nodes, if these have any
    boolean ownRegionServes = candidates.stream().anyMatch(member -> near(member, ownLocality));
    List<Member> offered =
        ownRegionServes ? cold.stream().filter(member -> near(member, ownLocality)).toList() : cold;
    double coldPerSecond =
        offered.stream().mapToDouble(member -> byInstance.get(member.instance()).perSecond()).sum();
    double warmSlots =
        warm.stream()
            .filter(member -> !ownRegionServes || near(member, ownLocality))
            .mapToDouble(Member::slots)
            .sum();
    double warmPerSecond = warmSlots / serviceSeconds(warm, loads, now);
    return Optional.of(
        new Division(offered, warm, coldPerSecond / (coldPerSecond + warmPerSecond)));
  }

  /**
   * Division of the candidates of a call.
   *
   * @param cold cold targets that get a share of the calls; may be empty
   * @param warm warm targets
   * @param coldShare share of the calls for the cold targets
   */
  record Division(List<Member> cold, List<Member> warm, double coldShare) {}

  private static boolean near(Member member, Locality ownLocality) {
    return ownLocality.distanceTo(member.locality()) != Locality.Distance.OTHER_REGION;
  }

  private boolean isCold(Member member, Instant now) {
    Cold cold = byInstance.get(member.instance());
    return cold != null && now.isBefore(cold.until());
  }

  private static double serviceSeconds(List<Member> members, TargetLoads loads, Instant now) {
    return members.stream()
        .mapToDouble(member -> loads.of(member.instance(), now).serviceMillis() / 1e3)
        .filter(seconds -> seconds > 0)
        .average()
        .orElse(INITIAL_SERVICE_SECONDS);
  }
}
