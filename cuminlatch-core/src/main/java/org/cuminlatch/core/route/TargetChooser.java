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
 * Chooses the less loaded of two random targets, the nearest targets first.
 *
 * <p>Source: M. Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, IEEE
 * Transactions on Parallel and Distributed Systems 12(10), 2001. A call leaves its zone when the
 * target chosen there has no free slot, and its region when the target chosen there has a queue as
 * long as its number of slots.
 */
final class TargetChooser {

  static final double ZONE_SPILL_PRESSURE = 1;
  static final double REGION_SPILL_PRESSURE = 2;

  /** Difference in pressure, in requests per slot, above which a call leaves its zone. */
  static final double ZONE_EXIT_MARGIN = 0.25;

  /** Difference in pressure above which a call that was refused leaves its region. */
  static final double REGION_EXIT_MARGIN = 0.25;

  /** Targets that were tried in vain for a call after which its region counts as full. */
  static final int TRIES_UNTIL_REGION_COUNTS_AS_FULL = 2;

  private final TargetLoads loads;
  private final LinkBudget link;

  TargetChooser(TargetLoads loads, LinkBudget link) {
    this.loads = loads;
    this.link = link;
  }

  Optional<Choice> choose(
      List<Member> candidates, Locality ownLocality, Instant now, RandomGenerator random) {
    return choose(candidates, ownLocality, 0, now, random);
  }

  /**
   * Chooses a target for a call that may have been tried at others in vain.
   *
   * <p>A first attempt leaves its region only for a free slot, if the target chosen in the region
   * has a long queue. After a refusal, a noticeably shorter queue is enough. After two the region
   * counts as full: while the regions differ in load, its callers would be turned away beside
   * targets that can still serve them.
   *
   * @param triedTargets number of targets that have refused or failed the call
   */
  Optional<Choice> choose(
      List<Member> candidates,
      Locality ownLocality,
      int triedTargets,
      Instant now,
      RandomGenerator random) {
    final double regionSpillPressure =
        triedTargets == 0 ? REGION_SPILL_PRESSURE : ZONE_SPILL_PRESSURE;
    List<Member> eligible = OutlierEjection.withoutEjected(candidates, loads, now);
    Optional<Member> inZone =
        leastLoadedOfTwo(within(eligible, ownLocality, Distance.SAME_ZONE), now, random);
    if (inZone.isPresent() && pressure(inZone.get(), now) < ZONE_SPILL_PRESSURE) {
      return Optional.of(new Choice(inZone.get(), Reason.SAME_ZONE));
    }
    Optional<Member> inRegion =
        leastLoadedOfTwo(within(eligible, ownLocality, Distance.SAME_REGION), now, random);
    if (inZone.isPresent() && staysInZone(inZone.get(), inRegion.get(), regionSpillPressure, now)) {
      return Optional.of(new Choice(inZone.get(), Reason.SAME_ZONE));
    }
    if (inRegion.isPresent() && pressure(inRegion.get(), now) < regionSpillPressure) {
      return Optional.of(new Choice(inRegion.get(), reason(ownLocality, inRegion.get())));
    }
    Optional<Member> remote =
        link.allows(now) ? inOtherRegion(eligible, ownLocality, now, random) : Optional.empty();
    if (remote.isPresent()
        && (inRegion.isEmpty() || isPreferred(remote.get(), inRegion.get(), triedTargets, now))) {
      return Optional.of(new Choice(remote.get(), Reason.OTHER_REGION));
    }
    return inRegion.map(member -> new Choice(member, reason(ownLocality, member)));
  }

  /** Returns whether the load elsewhere in the region is not low enough to leave the zone. */
  private boolean staysInZone(
      Member inZone, Member inRegion, double regionSpillPressure, Instant now) {
    double pressure = pressure(inZone, now);
    return pressure < regionSpillPressure && pressure(inRegion, now) > pressure - ZONE_EXIT_MARGIN;
  }

  private Optional<Member> inOtherRegion(
      List<Member> eligible, Locality ownLocality, Instant now, RandomGenerator random) {
    List<Member> others =
        eligible.stream()
            .filter(member -> ownLocality.distanceTo(member.locality()) == Distance.OTHER_REGION)
            .toList();
    return leastLoadedOfTwo(others, now, random);
  }

  private boolean isPreferred(
      Member inOtherRegion, Member inRegion, int triedTargets, Instant now) {
    double pressure = pressure(inOtherRegion, now);
    if (triedTargets >= TRIES_UNTIL_REGION_COUNTS_AS_FULL) {
      return pressure < REGION_SPILL_PRESSURE;
    }
    boolean shorterQueue =
        triedTargets > 0 && pressure < pressure(inRegion, now) - REGION_EXIT_MARGIN;
    return shorterQueue || (pressure < ZONE_SPILL_PRESSURE && pressure < pressure(inRegion, now));
  }

  double pressure(Member member, Instant now) {
    return loads.of(member.instance(), now).pressure(member.slots(), now);
  }

  private static Reason reason(Locality ownLocality, Member member) {
    return ownLocality.distanceTo(member.locality()) == Distance.SAME_ZONE
        ? Reason.SAME_ZONE
        : Reason.SAME_REGION;
  }

  private static List<Member> within(
      List<Member> members, Locality ownLocality, Distance maxDistance) {
    return members.stream()
        .filter(member -> ownLocality.distanceTo(member.locality()).compareTo(maxDistance) <= 0)
        .toList();
  }

  private Optional<Member> leastLoadedOfTwo(
      List<Member> members, Instant now, RandomGenerator random) {
    if (members.isEmpty()) {
      return Optional.empty();
    }
    int first = random.nextInt(members.size());
    if (members.size() == 1) {
      return Optional.of(members.get(first));
    }
    int second = random.nextInt(members.size() - 1);
    second = second >= first ? second + 1 : second;
    return Optional.of(cheaper(members.get(first), members.get(second), now));
  }

  private Member cheaper(Member one, Member other, Instant now) {
    double costOfOne = loads.of(one.instance(), now).cost(one.slots(), now);
    double costOfOther = loads.of(other.instance(), now).cost(other.slots(), now);
    return costOfOne <= costOfOther ? one : other;
  }

  record Choice(Member member, Reason reason) {}
}
