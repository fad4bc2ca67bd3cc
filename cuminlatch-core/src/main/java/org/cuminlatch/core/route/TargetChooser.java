package org.cuminlatch.core.route;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.route.RoutingDecision.Reason;

/**
 * Chooses a target by two random choices on load, the nearest targets first.
 *
 * <p>Source: M. Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, IEEE
 * Transactions on Parallel and Distributed Systems 12(10), 2001. The zone is left when the choice
 * in it has no free slot, the region when the choice in it has a queue as long as its slots.
 */
final class TargetChooser {

  static final double ZONE_SPILL = 1;
  static final double REGION_SPILL = 2;

  /** Difference of pressure, in requests per slot, for which a call leaves its zone. */
  static final double LEAVE_MARGIN = 0.25;

  private final TargetLoads loads;
  private final LinkBudget link;

  TargetChooser(TargetLoads loads, LinkBudget link) {
    this.loads = loads;
    this.link = link;
  }

  Optional<Choice> choose(
      List<Member> candidates, Locality own, Instant now, RandomGenerator random) {
    return choose(candidates, own, REGION_SPILL, now, random);
  }

  /** Chooses a target; the region is left from the given pressure on of the choice in it. */
  Optional<Choice> choose(
      List<Member> candidates,
      Locality own,
      double regionSpill,
      Instant now,
      RandomGenerator random) {
    List<Member> kept = OutlierEjection.keep(candidates, loads, now);
    Optional<Member> near = best(within(kept, own, Distance.SAME_ZONE), now, random);
    if (near.isPresent() && pressure(near.get(), now) < ZONE_SPILL) {
      return Optional.of(new Choice(near.get(), Reason.SAME_ZONE));
    }
    Optional<Member> region = best(within(kept, own, Distance.SAME_REGION), now, random);
    if (near.isPresent() && staysNear(near.get(), region.get(), regionSpill, now)) {
      return Optional.of(new Choice(near.get(), Reason.SAME_ZONE));
    }
    if (region.isPresent() && pressure(region.get(), now) < regionSpill) {
      return Optional.of(new Choice(region.get(), reason(own, region.get())));
    }
    Optional<Member> far = link.allows(now) ? far(kept, own, now, random) : Optional.empty();
    if (far.isPresent() && (region.isEmpty() || isLighter(far.get(), region.get(), now))) {
      return Optional.of(new Choice(far.get(), Reason.OTHER_REGION));
    }
    return region.map(member -> new Choice(member, reason(own, member)));
  }

  /** Returns whether the load elsewhere in the region is not worth the way there. */
  private boolean staysNear(Member near, Member region, double regionSpill, Instant now) {
    double pressure = pressure(near, now);
    return pressure < regionSpill && pressure(region, now) > pressure - LEAVE_MARGIN;
  }

  private Optional<Member> far(
      List<Member> kept, Locality own, Instant now, RandomGenerator random) {
    List<Member> others =
        kept.stream()
            .filter(member -> own.distanceTo(member.locality()) == Distance.OTHER_REGION)
            .toList();
    return best(others, now, random);
  }

  private boolean isLighter(Member far, Member near, Instant now) {
    return pressure(far, now) < ZONE_SPILL && pressure(far, now) < pressure(near, now);
  }

  double pressure(Member member, Instant now) {
    return loads.of(member.instance(), now).pressure(member.slots(), now);
  }

  private static Reason reason(Locality own, Member member) {
    return own.distanceTo(member.locality()) == Distance.SAME_ZONE
        ? Reason.SAME_ZONE
        : Reason.SAME_REGION;
  }

  private static List<Member> within(List<Member> members, Locality own, Distance most) {
    return members.stream()
        .filter(member -> own.distanceTo(member.locality()).compareTo(most) <= 0)
        .toList();
  }

  private Optional<Member> best(List<Member> members, Instant now, RandomGenerator random) {
    if (members.isEmpty()) {
      return Optional.empty();
    }
    int first = random.nextInt(members.size());
    if (members.size() == 1) {
      return Optional.of(members.get(first));
    }
    int second = random.nextInt(members.size() - 1);
    second = second >= first ? second + 1 : second;
    return Optional.of(lighter(members.get(first), members.get(second), now));
  }

  private Member lighter(Member one, Member other, Instant now) {
    double costOfOne = loads.of(one.instance(), now).cost(one.slots(), now);
    double costOfOther = loads.of(other.instance(), now).cost(other.slots(), now);
    return costOfOne <= costOfOther ? one : other;
  }

  record Choice(Member member, Reason reason) {}
}
