package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.VersionShares;
import org.cuminlatch.core.route.RoutingDecision.Reason;

/** Chooses the route, the target version and the target of a request. */
public final class Router {

  private final VersionChoice versions;
  private final TargetChooser chooser;

  /**
   * Creates a router.
   *
   * @param shares shares of the target versions
   * @param loads load and failures of the targets
   * @param link budget of the link between the regions
   */
  public Router(VersionShares shares, TargetLoads loads, LinkBudget link) {
    this.versions = new VersionChoice(notNull(shares, "shares"));
    this.chooser = new TargetChooser(notNull(loads, "loads"), notNull(link, "link"));
  }

  /**
   * Routes a request.
   *
   * @param table routes of the configuration that was in force when the request arrived
   * @param request the request
   * @param context members, locality, time and instances to avoid
   * @param random source of randomness
   * @return the decision with its reason
   */
  public RoutingDecision decide(
      RouteTable table, RequestHead request, Context context, RandomGenerator random) {
    Optional<Route> match = table.match(request);
    if (match.isEmpty()) {
      return refused(table, match, Reason.NO_ROUTE);
    }
    Route route = match.get();
    Optional<String> key = request.idempotencyKey(route.limits());
    Optional<String> sticky = key.or(() -> route.stickyHeader().flatMap(request::header));
    List<String> allowed = versions.choose(table.snapshot(), route, sticky, random);
    if (allowed.isEmpty()) {
      return refused(table, match, Reason.NO_VERSION);
    }
    boolean hasCandidates = false;
    for (String version : allowed) {
      List<Member> candidates = context.candidates(route.service(), version);
      hasCandidates |= !candidates.isEmpty();
      Optional<TargetChooser.Choice> choice =
          key.isPresent()
              ? keyOwner(context.preferred(candidates), key.get())
              : choose(context.preferred(candidates), context, random);
      if (choice.isPresent()) {
        return new RoutingDecision(
            table.snapshot().version(),
            match,
            Optional.of(version),
            choice.map(TargetChooser.Choice::member),
            choice.get().reason());
      }
    }
    return refused(table, match, hasCandidates ? Reason.LINK_BUDGET_SPENT : Reason.NO_MEMBER);
  }

  private Optional<TargetChooser.Choice> choose(
      List<Member> candidates, Context context, RandomGenerator random) {
    return chooser.choose(candidates, context.ownLocality(), context.now(), random);
  }

  private static Optional<TargetChooser.Choice> keyOwner(List<Member> candidates, String key) {
    return KeyOwners.ranked(candidates, key).stream()
        .findFirst()
        .map(owner -> new TargetChooser.Choice(owner, Reason.KEY_OWNER));
  }

  private static RoutingDecision refused(RouteTable table, Optional<Route> route, Reason reason) {
    return new RoutingDecision(
        table.snapshot().version(), route, Optional.empty(), Optional.empty(), reason);
  }

  /**
   * Context of a routing decision.
   *
   * @param members members by service
   * @param ownLocality locality of the node that routes the request
   * @param triedInstances instances that have already been tried for this request; they are chosen
   *     only if there is no other
   * @param now current time
   */
  public record Context(
      ServiceIndex members, Locality ownLocality, Set<String> triedInstances, Instant now) {

    /** Validates the components. */
    public Context {
      notNull(members, "members");
      notNull(ownLocality, "ownLocality");
      notNull(triedInstances, "triedInstances");
      notNull(now, "now");
    }

    List<Member> candidates(String service, String version) {
      return members.serving(service, version);
    }

    List<Member> preferred(List<Member> candidates) {
      if (triedInstances.isEmpty()) {
        return candidates;
      }
      List<Member> untried =
          candidates.stream()
              .filter(member -> !triedInstances.contains(member.instance()))
              .toList();
      return untried.isEmpty() ? candidates : untried;
    }
  }
}
