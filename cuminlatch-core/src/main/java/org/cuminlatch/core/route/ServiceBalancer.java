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

/** Chooses the target of a call among the members that serve its service. */
public final class ServiceBalancer {

  /**
   * Pressure from which on a call with a large answer leaves the nearest locality. The value is
   * reached when the queue is as long as the number of slots, or when all slots are held and the
   * target's node lags.
   */
  private static final double LARGE_ANSWER_SPILL_PRESSURE = 2;

  private final TargetLoads loads;
  private final TargetChooser chooser;
  private final ColdTargets coldTargets;

  /**
   * Creates a balancer for targets that are never cold.
   *
   * @param loads load and failures of the targets
   * @param link budget of the link between the regions
   */
  public ServiceBalancer(TargetLoads loads, LinkBudget link) {
    this(loads, link, new ColdTargets());
  }

  /**
   * Creates a balancer.
   *
   * @param loads load and failures of the targets
   * @param link budget of the link between the regions
   * @param coldTargets targets that get only a part of the calls
   */
  public ServiceBalancer(TargetLoads loads, LinkBudget link, ColdTargets coldTargets) {
    this.loads = notNull(loads, "loads");
    this.chooser = new TargetChooser(loads, notNull(link, "link"));
    this.coldTargets = notNull(coldTargets, "coldTargets");
  }

  /**
   * Chooses a target.
   *
   * @param index members that accept calls
   * @param service name of the service
   * @param rule split of the service's calls between versions; empty if no move is known, so that
   *     only the version of the earliest member serves
   * @param context locality, time and instances that must not be chosen
   * @param random source of randomness
   * @return the target and the reason for its choice; empty if no member can serve the call
   */
  public Optional<ChosenTarget> chooseTarget(
      ServiceIndex index,
      String service,
      Optional<VersionRule> rule,
      Context context,
      RandomGenerator random) {
    List<Member> members = index.serving(service);
    for (List<Member> group : versionGroups(members, rule, context.homeRegions(), random)) {
      List<Member> candidates = context.candidates(group);
      Optional<TargetChooser.Choice> choice =
          coldTargets
              .divide(candidates, context.ownLocality(), loads, context.now())
              .flatMap(division -> chooseOf(division, context, random))
              .or(() -> choose(candidates, context, random));
      if (choice.isPresent()) {
        return choice.map(chosen -> new ChosenTarget(chosen.member(), chosen.reason()));
      }
    }
    return Optional.empty();
  }

  /** Returns a cold target for a share of the calls if it has room, otherwise a warm one. */
  private Optional<TargetChooser.Choice> chooseOf(
      ColdTargets.Division division, Context context, RandomGenerator random) {
    Optional<TargetChooser.Choice> cold =
        random.nextDouble() < division.coldShare()
            ? choose(division.cold(), context, random).filter(choice -> hasRoom(choice, context))
            : Optional.empty();
    return cold.or(() -> choose(division.warm(), context, random));
  }

  private boolean hasRoom(TargetChooser.Choice choice, Context context) {
    return chooser.pressure(choice.member(), context.now()) < TargetChooser.ZONE_SPILL_PRESSURE;
  }

  private Optional<TargetChooser.Choice> choose(
      List<Member> candidates, Context context, RandomGenerator random) {
    return inNearestLocality(candidates, context, random)
        .or(() -> inAnyLocality(candidates, context, random));
  }

  /** Returns a target in the nearest locality for a large answer; empty if it is overloaded. */
  private Optional<TargetChooser.Choice> inNearestLocality(
      List<Member> candidates, Context context, RandomGenerator random) {
    if (!context.preferNearest()) {
      return Optional.empty();
    }
    return chooser
        .choose(context.atNearestLocality(candidates), context.ownLocality(), context.now(), random)
        .filter(
            chosen ->
                chooser.pressure(chosen.member(), context.now()) < LARGE_ANSWER_SPILL_PRESSURE);
  }

  private Optional<TargetChooser.Choice> inAnyLocality(
      List<Member> candidates, Context context, RandomGenerator random) {
    return chooser.choose(
        candidates, context.ownLocality(), context.triedInstances().size(), context.now(), random);
  }

  private static List<List<Member>> versionGroups(
      List<Member> members,
      Optional<VersionRule> rule,
      HomeRegions homeRegions,
      RandomGenerator random) {
    if (rule.isEmpty()) {
      return List.of(homeRegions.allowedOf(withEarliestVersion(members)));
    }
    List<Member> ruleVersion = new ArrayList<>();
    List<Member> others = new ArrayList<>();
    for (Member member : homeRegions.allowedOf(members)) {
      (member.targetVersion().equals(rule.get().version()) ? ruleVersion : others).add(member);
    }
    if (random.nextDouble() >= rule.get().share()) {
      return List.of(others);
    }
    ruleVersion = limitedToUsualLoad(ruleVersion, rule.get().share());
    return rule.get().fallback() == Fallback.OTHER_VERSIONS
        ? List.of(ruleVersion, others)
        : List.of(ruleVersion);
  }

  /**
   * Returns the targets of the version of the earliest member. While no move is known, a version
   * that appears beside it gets no calls.
   */
  private static List<Member> withEarliestVersion(List<Member> members) {
    Optional<Member> earliest = members.stream().min(Comparator.comparingLong(Member::incarnation));
    if (members.stream().allMatch(member -> sameVersion(member, earliest.get()))) {
      return members;
    }
    return members.stream().filter(member -> sameVersion(member, earliest.get())).toList();
  }

  private static boolean sameVersion(Member one, Member other) {
    return one.targetVersion().equals(other.targetVersion());
  }

  /**
   * Returns as many targets as get about their usual load from a share of the calls, so that
   * failures that occur only under load show early.
   */
  private static List<Member> limitedToUsualLoad(List<Member> ruleVersion, double share) {
    return ruleVersion.subList(0, (int) Math.ceil(ruleVersion.size() * share));
  }

  /**
   * Context of a choice.
   *
   * @param ownLocality locality of the node that sends the call
   * @param triedInstances instances that have already been tried for the call; they are not chosen
   *     again
   * @param preferNearest whether to use the nearest locality that has an untried target unless it
   *     is overloaded, and another region only if the own region has no target, as for large
   *     answers
   * @param homeRegions regions in which the call may run
   * @param now current time
   */
  public record Context(
      Locality ownLocality,
      Set<String> triedInstances,
      boolean preferNearest,
      HomeRegions homeRegions,
      Instant now) {

    /** Validates the components. */
    public Context {
      notNull(ownLocality, "ownLocality");
      notNull(triedInstances, "triedInstances");
      notNull(homeRegions, "homeRegions");
      notNull(now, "now");
    }

    /** Keeps large answers off the link between the regions, which many small answers share. */
    private List<Member> candidates(List<Member> members) {
      boolean ownRegionServes = members.stream().anyMatch(this::isInOwnRegion);
      return preferNearest && ownRegionServes
          ? untried(members).stream().filter(this::isInOwnRegion).toList()
          : untried(members);
    }

    private boolean isInOwnRegion(Member member) {
      return ownLocality.distanceTo(member.locality()) != Locality.Distance.OTHER_REGION;
    }

    private List<Member> atNearestLocality(List<Member> members) {
      Optional<Locality.Distance> shortestDistance =
          members.stream()
              .map(member -> ownLocality.distanceTo(member.locality()))
              .min(Comparator.naturalOrder());
      return members.stream()
          .filter(
              member -> ownLocality.distanceTo(member.locality()) == shortestDistance.orElseThrow())
          .toList();
    }

    private List<Member> untried(List<Member> members) {
      if (triedInstances.isEmpty()) {
        return members;
      }
      return members.stream()
          .filter(member -> !triedInstances.contains(member.instance()))
          .toList();
    }
  }

  /**
   * A chosen target.
   *
   * @param member the target
   * @param reason reason for the choice
   */
  public record ChosenTarget(Member member, RoutingDecision.Reason reason) {

    /** Validates the components. */
    public ChosenTarget {
      notNull(member, "member");
      notNull(reason, "reason");
    }
  }
}
