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

/** Carries calls with the routing, admission and retry logic of the core module. */
final class MeshPolicy implements CallPolicy {

  private static final Duration IN_REGION_LATENCY = Duration.ofMillis(1);
  private static final Duration CROSS_REGION_LATENCY = Duration.ofMillis(8);
  private static final RequestHead REQUEST = new RequestHead("GET", "", "/stock", Map.of());
  static final long LINK_BYTES_PER_SECOND = 100_000;

  private final VirtualTime time;
  private final Random random;
  private final SimulatedFleet fleet;
  private final Map<String, SimulatedTarget> targets;
  private final Member self;
  private final SimulationCounters counters;
  private final TargetLoads loads = new TargetLoads();
  private final LinkBudget linkBudget;
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
      SimulationCounters counters) {
    this.time = time;
    this.random = random;
    this.fleet = fleet;
    this.self = self;
    this.counters = counters;
    this.linkBudget = new LinkBudget(LINK_BYTES_PER_SECOND, time.now());
    this.router =
        new Router(
            (snapshot, route) -> List.of(new VersionShare(SimulatedFleet.VERSION, 1)),
            loads,
            linkBudget);
    this.table = RouteTable.of(fleet.snapshot());
    List<Member> fleetMembers = fleet.members();
    this.members = ServiceIndex.of(fleetMembers);
    Function<Integer, String> instanceName = i -> fleetMembers.get(i).instance();
    this.targets =
        IntStream.range(0, fleetMembers.size())
            .boxed()
            .collect(Collectors.toMap(instanceName, targets::get));
  }

  @Override
  public void call() {
    budget.deposit(CallTreePosition.root(), route().limits().retryBudget());
    attempt(new Call(time.now(), time.now().plus(fleet.deadline()), new HashSet<>()), 1, false);
  }

  private Route route() {
    return table.snapshot().routes().get("all");
  }

  private void attempt(Call call, int attemptNumber, boolean mayHaveRun) {
    Router.Context context =
        new Router.Context(members, self.locality(), call.triedInstances(), time.now());
    RoutingDecision decision = router.decide(table, REQUEST, context, random);
    if (decision.target().isEmpty()) {
      counters.recordNotRun(call.startedAt());
      return;
    }
    Member target = decision.target().get();
    Instant attemptStartedAt = time.now();
    loads.begin(target.instance(), attemptStartedAt);
    SlotRequest request = new SlotRequest(AttemptId.next(random), "all", call.deadline());
    Duration oneWayLatency = oneWayLatency(target);
    SimulatedTarget simulatedTarget = targets.get(target.instance());
    time.after(
        oneWayLatency,
        () ->
            simulatedTarget.admit(
                request,
                call.startedAt(),
                attemptEnd -> {
                  var report = simulatedTarget.load();
                  time.after(
                      oneWayLatency,
                      () -> {
                        loads.recordReport(target.instance(), report, time.now());
                        onAttemptEnd(
                            call, attemptNumber, mayHaveRun, target, attemptStartedAt, attemptEnd);
                      });
                }));
  }

  private Duration oneWayLatency(Member target) {
    return isInOtherRegion(target) ? CROSS_REGION_LATENCY : IN_REGION_LATENCY;
  }

  private boolean isInOtherRegion(Member target) {
    return self.locality().distanceTo(target.locality()) == Distance.OTHER_REGION;
  }

  private void onAttemptEnd(
      Call call,
      int attemptNumber,
      boolean mayHaveRun,
      Member target,
      Instant attemptStartedAt,
      SimulatedTarget.End attemptEnd) {
    Instant now = time.now();
    loads.end(
        target.instance(), toAttemptEnd(attemptEnd), Duration.between(attemptStartedAt, now), now);
    if (attemptEnd == SimulatedTarget.End.ANSWERED) {
      counters.recordAnswered(call.startedAt(), now);
      counters.recordTransfer(call.startedAt(), fleet.answerBytes(), isInOtherRegion(target));
      if (isInOtherRegion(target)) {
        linkBudget.spend(fleet.answerBytes(), now);
      }
      return;
    }
    boolean isUnknown = attemptEnd == SimulatedTarget.End.TIMED_OUT;
    call.triedInstances().add(target.instance());
    if (decideRetry(call, attemptNumber, isUnknown) == RetryPolicy.Decision.RETRY) {
      attempt(call, attemptNumber + 1, mayHaveRun || isUnknown);
    } else if (isUnknown || mayHaveRun) {
      counters.recordUnknown(call.startedAt());
    } else {
      counters.recordNotRun(call.startedAt());
    }
  }

  private static AttemptEnd toAttemptEnd(SimulatedTarget.End attemptEnd) {
    return switch (attemptEnd) {
      case ANSWERED -> AttemptEnd.SERVED;
      case REFUSED -> AttemptEnd.INCONCLUSIVE;
      case TIMED_OUT -> AttemptEnd.FAILED;
    };
  }

  private RetryPolicy.Decision decideRetry(Call call, int attemptNumber, boolean isUnknown) {
    return RetryPolicy.decide(
        new RetryPolicy.EndedAttempt(
            isUnknown ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN,
            !isUnknown,
            attemptNumber,
            true,
            true,
            Duration.between(time.now(), call.deadline()),
            CallTreePosition.root()),
        route().limits(),
        budget);
  }

  private record Call(Instant startedAt, Instant deadline, Set<String> triedInstances) {}
}
