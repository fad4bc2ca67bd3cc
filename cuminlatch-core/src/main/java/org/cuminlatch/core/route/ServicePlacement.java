package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.route.VersionRule.Fallback;

/** Chooses the target of a call among those that serve its service. */
public final class ServicePlacement {

  /**
   * Pressure from which on a large answer is not fetched at the nearest place: a queue as long as
   * the slots, or full slots beside a node that is behind.
   */
  private static final double LARGE_ANSWER_SPILL = 2;

  private final TargetChooser chooser;

  /**
   * Creates a placement.
   *
   * @param loads what is known of the targets
   * @param link budget of the link between the regions
   */
  public ServicePlacement(TargetLoads loads, LinkBudget link) {
    this.chooser = new TargetChooser(notNull(loads, "loads"), notNull(link, "link"));
  }

  /**
   * Chooses a target.
   *
   * @param index members that take calls
   * @param service name of the service
   * @param rule division of the service's calls by version, empty if all versions serve alike
   * @param context place, time and instances not to choose
   * @param random source of random choices
   * @return the target and why, empty if no member can serve
   */
  public Optional<Placed> place(
      ServiceIndex index,
      String service,
      Optional<VersionRule> rule,
      Context context,
      RandomGenerator random) {
    for (List<Member> side : sides(index.serving(service), rule, random)) {
      Optional<TargetChooser.Choice> choice =
          nearest(side, context, random).or(() -> anywhere(side, context, random));
      if (choice.isPresent()) {
        return choice.map(chosen -> new Placed(chosen.member(), chosen.reason()));
      }
    }
    return Optional.empty();
  }

  /** Returns a target at the nearest place for a large answer, empty if it is far too loaded. */
  private Optional<TargetChooser.Choice> nearest(
      List<Member> side, Context context, RandomGenerator random) {
    if (!context.nearest()) {
      return Optional.empty();
    }
    return chooser
        .choose(
            context.atNearestPlace(context.candidates(side)), context.own(), context.now(), random)
        .filter(chosen -> chooser.pressure(chosen.member(), context.now()) < LARGE_ANSWER_SPILL);
  }

  private Optional<TargetChooser.Choice> anywhere(
      List<Member> side, Context context, RandomGenerator random) {
    return chooser.choose(
        context.candidates(side), context.own(), context.regionSpill(), context.now(), random);
  }

  private static List<List<Member>> sides(
      List<Member> all, Optional<VersionRule> rule, RandomGenerator random) {
    if (rule.isEmpty()) {
      return List.of(ofEarliestVersion(all));
    }
    List<Member> named = new ArrayList<>();
    List<Member> others = new ArrayList<>();
    for (Member member : all) {
      (member.targetVersion().equals(rule.get().version()) ? named : others).add(member);
    }
    if (random.nextDouble() >= rule.get().share()) {
      return List.of(others);
    }
    named = usualLoad(named, rule.get().share());
    return rule.get().fallback() == Fallback.TO_OTHERS ? List.of(named, others) : List.of(named);
  }

  /**
   * Returns the targets of the version that was there first: while no move is known, a version that
   * appears beside it gets nothing.
   */
  private static List<Member> ofEarliestVersion(List<Member> all) {
    Optional<Member> first = all.stream().min(Comparator.comparingLong(Member::incarnation));
    if (all.stream().allMatch(member -> sameVersion(member, first.get()))) {
      return all;
    }
    return all.stream().filter(member -> sameVersion(member, first.get())).toList();
  }

  private static boolean sameVersion(Member one, Member other) {
    return one.targetVersion().equals(other.targetVersion());
  }

  /**
   * Returns as many targets as carry about their usual load with a share of the calls, so that what
   * shows under load only shows early.
   */
  private static List<Member> usualLoad(List<Member> named, double share) {
    return named.subList(0, (int) Math.ceil(named.size() * share));
  }

  /**
   * Circumstances of a choice.
   *
   * @param own place of the deciding node
   * @param avoided instances that have been tried for the call
   * @param nearest whether the nearest place with a target that was not tried is to serve unless it
   *     is far too loaded, and another region only if the own one has none, as for large answers
   * @param now present time
   */
  public record Context(Locality own, Set<String> avoided, boolean nearest, Instant now) {

    /** Checks the fields. */
    public Context {
      notNull(own, "own");
      notNull(avoided, "avoided");
      notNull(now, "now");
    }

    /** A call that was sent back once leaves its region as soon as no slot is free there. */
    private double regionSpill() {
      return avoided.isEmpty() ? TargetChooser.REGION_SPILL : TargetChooser.ZONE_SPILL;
    }

    /** Large answers don't take the link between regions from many small ones. */
    private List<Member> candidates(List<Member> members) {
      boolean ownRegionServes = members.stream().anyMatch(this::isInOwnRegion);
      return nearest && ownRegionServes
          ? without(members).stream().filter(this::isInOwnRegion).toList()
          : without(members);
    }

    private boolean isInOwnRegion(Member member) {
      return own.distanceTo(member.locality()) != Locality.Distance.OTHER_REGION;
    }

    private List<Member> atNearestPlace(List<Member> members) {
      Optional<Locality.Distance> least =
          members.stream()
              .map(member -> own.distanceTo(member.locality()))
              .min(Comparator.naturalOrder());
      return members.stream()
          .filter(member -> own.distanceTo(member.locality()) == least.orElseThrow())
          .toList();
    }

    private List<Member> without(List<Member> members) {
      if (avoided.isEmpty()) {
        return members;
      }
      return members.stream().filter(member -> !avoided.contains(member.instance())).toList();
    }
  }

  /**
   * A chosen target.
   *
   * @param member the target
   * @param reason why
   */
  public record Placed(Member member, RoutingDecision.Reason reason) {

    /** Checks the fields. */
    public Placed {
      notNull(member, "member");
      notNull(reason, "reason");
    }
  }
}
