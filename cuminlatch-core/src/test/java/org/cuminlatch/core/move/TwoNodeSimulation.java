package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.config.MoveOutcome.Result;
import org.cuminlatch.core.config.MoveState;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.ServiceState;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipView;
import org.cuminlatch.core.move.VersionShares.VersionShare;

/** Simulation of two nodes of one zone with their engines, a log and a steady rate of calls. */
final class TwoNodeSimulation {

  private static final Instant START = Instant.parse("2026-03-01T08:00:00Z");
  private static final Duration TICK = Duration.ofMillis(100);
  private static final int CALLS_PER_TICK = 20;
  private static final int SLOTS = 8;
  private static final Route ROUTE = Route.of("orders", "/orders", "siparis");
  private static final Duration LATENCY = Duration.ofMillis(20);

  private final SplittableRandom random = new SplittableRandom(6);
  private final List<MoveOutcome> outcomes = new ArrayList<>();
  private final Map<Address, MoveEngine> engines = new LinkedHashMap<>();
  private final Deque<Runnable> deliveries = new ArrayDeque<>();
  private Optional<MoveState> state = Optional.empty();
  private Instant now = START;
  private long version = 1;
  private Snapshot snapshot = Snapshot.empty();
  private double newVersionFailureRate;
  private int newVersionSlots = SLOTS;

  TwoNodeSimulation() {
    for (Member member : members()) {
      engines.put(member.controlAddress(), engineOf(member));
    }
  }

  private MoveEngine engineOf(Member member) {
    return MoveEngine.create(
        member.instance(),
        member.locality(),
        this::snapshot,
        new FixedMembership(),
        (to, message) -> send(member.controlAddress(), to, message),
        this::append,
        decision -> {},
        MoveSettings.defaults());
  }

  private void send(Address from, Address to, ControlMessage message) {
    deliveries.add(() -> engines.get(to).onMessage(from, (EvidenceMessage) message, now));
  }

  MoveEngine firstEngine() {
    return engines.values().iterator().next();
  }

  List<String> reasons() {
    return engines.values().stream().map(engine -> engine.progress().get(0).reason()).toList();
  }

  Move move(long seconds, long soakSeconds) {
    return routeMove(Optional.empty(), seconds, soakSeconds);
  }

  Move routeMove(Optional<String> route, long seconds, long soakSeconds) {
    return new Move(
        "m",
        "siparis",
        route,
        "1",
        "2",
        now,
        now.plusSeconds(seconds),
        List.of(),
        Duration.ofSeconds(soakSeconds),
        false);
  }

  void start(Move move) {
    version++;
    state = Optional.of(new MoveState(move, 1, Optional.empty(), Optional.empty()));
  }

  void stop(MoveStop stop) {
    version++;
    state =
        state.map(
            openState -> new MoveState(openState.move(), 1, Optional.of(stop), Optional.empty()));
  }

  /** Delivers a message to the first node. */
  void deliverToFirstNode(EvidenceMessage message) {
    firstEngine().onMessage(new Address("127.0.0.1", 3), message, now);
  }

  void setNewVersionFailureRate(double share) {
    newVersionFailureRate = share;
  }

  void setNewVersionSlots(int slots) {
    newVersionSlots = slots;
  }

  void run(double seconds) {
    Instant end = now.plusMillis((long) (seconds * 1_000));
    while (now.isBefore(end)) {
      now = now.plus(TICK);
      engines.values().forEach(this::simulateTick);
      deliverMessages();
    }
  }

  private void simulateTick(MoveEngine engine) {
    for (int i = 0; i < CALLS_PER_TICK; i++) {
      call(engine);
    }
    engine.onTick(now);
  }

  private void deliverMessages() {
    while (!deliveries.isEmpty()) {
      deliveries.removeFirst().run();
    }
  }

  List<VersionShare> shares() {
    return firstEngine().sharesOf(snapshot(), ROUTE);
  }

  double newVersionShare() {
    return shares().stream()
        .filter(share -> share.version().equals("2"))
        .mapToDouble(VersionShare::share)
        .sum();
  }

  List<MoveOutcome> outcomes() {
    return outcomes;
  }

  MoveOutcome outcome() {
    return outcomes.get(0);
  }

  private void call(MoveEngine engine) {
    boolean toNewVersion = random.nextDouble() < newVersionShare();
    boolean failed = random.nextDouble() < (toNewVersion ? newVersionFailureRate : 0);
    CallOutcome.Result result = failed ? CallOutcome.Result.FAILURE : CallOutcome.Result.SUCCESS;
    engine.onCallOutcome(
        new CallOutcome("orders", "siparis", toNewVersion ? "2" : "1", result, LATENCY, false));
  }

  private void append(MoveOutcome outcome) {
    outcomes.add(outcome);
    version++;
    state =
        state.map(
            openState ->
                new MoveState(
                    openState.move(),
                    1,
                    openState.stop(),
                    openState.outcome().or(() -> Optional.of(outcome))));
  }

  private Snapshot snapshot() {
    if (snapshot.version() != version) {
      Map<String, MoveState> moves =
          state.map(openState -> Map.of("m", openState)).orElse(Map.of());
      snapshot =
          new Snapshot(version, "", Map.of("orders", ROUTE), Map.of("siparis", service()), moves);
    }
    return snapshot;
  }

  /** Returns the service as the fold computes it: a completed move has moved its routes. */
  private ServiceState service() {
    Optional<Move> completedMove =
        state
            .filter(
                endedState ->
                    endedState.outcome().map(MoveOutcome::result).equals(Optional.of(Result.DONE)))
            .map(MoveState::move);
    String current = completedMove.filter(move -> move.route().isEmpty()).map(Move::to).orElse("1");
    Map<String, String> byRoute =
        completedMove.flatMap(Move::route).map(route -> Map.of(route, "2")).orElse(Map.of());
    return new ServiceState("siparis", Set.of("1", "2"), current, byRoute);
  }

  private List<Member> members() {
    return List.of(member("izmir-1", 1, "1", SLOTS), member("izmir-2", 2, "2", newVersionSlots));
  }

  private static Member member(String instance, int port, String version, int slots) {
    Address address = new Address("127.0.0.1", port);
    return new Member(
        instance,
        0,
        Member.Status.ALIVE,
        address,
        address,
        new Locality("ege", "izmir"),
        "siparis",
        version,
        slots,
        slots > 0 ? Member.Phase.SERVING : Member.Phase.STARTING,
        Set.of(1),
        0,
        "");
  }

  private final class FixedMembership implements MembershipView {

    @Override
    public Collection<Member> members() {
      return TwoNodeSimulation.this.members();
    }

    @Override
    public Optional<Member> member(String instance) {
      return members().stream().filter(member -> member.instance().equals(instance)).findFirst();
    }
  }
}
