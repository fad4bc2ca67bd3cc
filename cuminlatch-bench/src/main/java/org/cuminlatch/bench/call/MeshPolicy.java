package org.cuminlatch.bench.call;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminlatch.core.admission.SlotRequest;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.VersionShares.VersionShare;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.retry.AttemptOutcome;
import org.cuminlatch.core.retry.CallTreePosition;
import org.cuminlatch.core.retry.RetryBudget;
import org.cuminlatch.core.retry.RetryPolicy;
import org.cuminlatch.core.route.LinkBudget;
import org.cuminlatch.core.route.RequestHead;
import org.cuminlatch.core.route.RouteTable;
import org.cuminlatch.core.route.Router;
import org.cuminlatch.core.route.RoutingDecision;
import org.cuminlatch.core.route.ServiceIndex;
import org.cuminlatch.core.route.TargetLoads;
import org.cuminlatch.core.route.TargetLoads.AttemptEnd;

/** The decisions of the core: routing, admission and retries. */
final class MeshPolicy implements CallPolicy {

  private static final Duration IN_REGION = Duration.ofMillis(1);
  private static final Duration ACROSS_REGIONS = Duration.ofMillis(8);
  private static final RequestHead GET = new RequestHead("GET", "", "/stock", Map.of());
  static final long LINK_BYTES_PER_SECOND = 100_000;

  private final VirtualTime time;
  private final Random random;
  private final SimulatedFleet fleet;
  private final Map<String, SimulatedTarget> targets;
  private final Member self;
  private final SimulationTally tally;
  private final TargetLoads loads = new TargetLoads();
  private final LinkBudget link;
  private final Router router;
  private final RouteTable table;
  private final ServiceIndex members;
  private final RetryBudget budget = new RetryBudget();

  MeshPolicy(
      VirtualTime time,
      Random random,
      SimulatedFleet fleet,
      List<SimulatedTarget> targets,
      Member self,
      SimulationTally tally) {
    this.time = time;
    this.random = random;
    this.fleet = fleet;
    this.self = self;
    this.tally = tally;
    this.link = new LinkBudget(LINK_BYTES_PER_SECOND, time.now());
    this.router =
        new Router(
            (snapshot, route) -> List.of(new VersionShare(SimulatedFleet.VERSION, 1)), loads, link);
    this.table = RouteTable.of(fleet.snapshot());
    List<Member> all = fleet.members();
    this.members = ServiceIndex.of(all);
    Function<Integer, String> name = i -> all.get(i).instance();
    this.targets =
        IntStream.range(0, all.size()).boxed().collect(Collectors.toMap(name, targets::get));
  }

  @Override
  public void call() {
    budget.deposit(CallTreePosition.root(), route().limits().retryBudget());
    attempt(new Call(time.now(), time.now().plus(fleet.deadline()), new HashSet<>()), 1, false);
  }

  private Route route() {
    return table.snapshot().routes().get("all");
  }

  private void attempt(Call call, int number, boolean mayHaveRun) {
    Router.Context context =
        new Router.Context(members, self.locality(), call.avoided(), time.now());
    RoutingDecision decision = router.decide(table, GET, context, random);
    if (decision.target().isEmpty()) {
      tally.notRun(call.begun());
      return;
    }
    Member target = decision.target().get();
    Instant begunAt = time.now();
    loads.begin(target.instance(), begunAt);
    SlotRequest request = new SlotRequest(AttemptId.next(random), "all", call.deadline());
    Duration way = way(target);
    SimulatedTarget simulated = targets.get(target.instance());
    time.after(
        way,
        () ->
            simulated.admit(
                request,
                call.begun(),
                end -> {
                  var report = simulated.load();
                  time.after(
                      way,
                      () -> {
                        loads.recordReport(target.instance(), report, time.now());
                        ended(call, number, mayHaveRun, target, begunAt, end);
                      });
                }));
  }

  private Duration way(Member target) {
    return isFar(target) ? ACROSS_REGIONS : IN_REGION;
  }

  private boolean isFar(Member target) {
    return self.locality().distanceTo(target.locality()) == Distance.OTHER_REGION;
  }

  private void ended(
      Call call,
      int number,
      boolean mayHaveRun,
      Member target,
      Instant begunAt,
      SimulatedTarget.End end) {
    Instant now = time.now();
    loads.end(target.instance(), blame(end), Duration.between(begunAt, now), now);
    if (end == SimulatedTarget.End.ANSWERED) {
      tally.answered(call.begun(), now);
      tally.moved(call.begun(), fleet.answerBytes(), isFar(target));
      if (isFar(target)) {
        link.spend(fleet.answerBytes(), now);
      }
      return;
    }
    boolean unknown = end == SimulatedTarget.End.TIMED_OUT;
    call.avoided().add(target.instance());
    if (retry(call, number, unknown) == RetryPolicy.Decision.RETRY) {
      attempt(call, number + 1, mayHaveRun || unknown);
    } else if (unknown || mayHaveRun) {
      tally.unknown(call.begun());
    } else {
      tally.notRun(call.begun());
    }
  }

  private static AttemptEnd blame(SimulatedTarget.End end) {
    return switch (end) {
      case ANSWERED -> AttemptEnd.SERVED;
      case REFUSED -> AttemptEnd.INCONCLUSIVE;
      case TIMED_OUT -> AttemptEnd.FAILED;
    };
  }

  private RetryPolicy.Decision retry(Call call, int number, boolean unknown) {
    return RetryPolicy.decide(
        new RetryPolicy.EndedAttempt(
            unknown ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN,
            !unknown,
            number,
            true,
            true,
            Duration.between(time.now(), call.deadline()),
            CallTreePosition.root()),
        route().limits(),
        budget);
  }

  private record Call(Instant begun, Instant deadline, Set<String> avoided) {}
}
