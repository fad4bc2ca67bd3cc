package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cuminlatch.core.move.MoveOrder;
import org.cuminlatch.core.move.MoveStatement;
import org.cuminlatch.core.move.MoveStatement.State;
import org.cuminlatch.core.move.OrderedMove;
import org.cuminlatch.core.route.VersionRule;
import org.cuminlatch.core.route.VersionRule.Fallback;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Page;
import org.cuminlatch.node.mesh.KeyedStore.Stream;
import org.cuminlatch.wire.proto.call.MoveEvidence;
import org.cuminlatch.wire.proto.call.MoveFact;
import org.cuminlatch.wire.proto.call.MovePhase;
import org.cuminlatch.wire.proto.call.TargetPhase;
import org.cuminlatch.wire.proto.call.TargetStatus;

/**
 * Follows the ordered moves and states their ends in the store; used on the control loop.
 *
 * <p>Each node judges for itself. The nodes that know each other and can read the store take turns
 * to state an end, the first by name at once, and each writes under the condition that nothing was
 * stated since it read: the first final statement stands.
 */
final class MoveControl {

  /** Time by which each further node waits for the ones before it. */
  private static final Duration TURN = Duration.ofMillis(700);

  /** Time between two tries to read what was stated before. */
  private static final Duration READ_RETRY = Duration.ofMillis(700);

  private static final Duration BETWEEN_TRIES = Duration.ofMillis(300);

  /** Part of the old targets' slots that the new ones must have before a move is complete. */
  private static final double LEAST_NEW_SLOTS = 0.5;

  private final String node;
  private final EventLoop control;
  private final InstantSource clock;
  private final KeyedStore store;
  private final OperatorRecords records;
  private final EventLog log;
  private final Supplier<Map<String, TargetStatus>> statuses;
  private final Consumer<Map<String, VersionRule>> rulesChanged;
  private final Map<String, Followed> moves = new HashMap<>();
  private final Map<String, MoveStatement> statements = new HashMap<>();
  private Map<String, VersionRule> rules = Map.of();
  private boolean statementsKnown;
  private Instant triedAt = Instant.MIN;
  private boolean writing;

  MoveControl(
      String node,
      EventLoop control,
      InstantSource clock,
      KeyedStore store,
      OperatorRecords records,
      EventLog log,
      Supplier<Map<String, TargetStatus>> statuses,
      Consumer<Map<String, VersionRule>> rulesChanged) {
    this.node = node;
    this.control = control;
    this.clock = clock;
    this.store = store;
    this.records = records;
    this.log = log;
    this.statuses = statuses;
    this.rulesChanged = rulesChanged;
  }

  /** A move with what this node has done about it. */
  private static final class Followed {

    private final OrderedMove move;
    private State stated;
    private State due = State.RUNNING;
    private Instant dueSince;

    Followed(OrderedMove move, Instant now) {
      this.move = move;
      this.dueSince = now;
    }
  }

  boolean isActive() {
    return moves.values().stream()
        .anyMatch(followed -> followed.stated == null || followed.move.state() == State.RUNNING);
  }

  /** Returns whether a version is the one that a running move brings in. */
  boolean isNew(String service, String version) {
    Followed followed = moves.get(service);
    return followed != null && followed.move.order().version().equals(version);
  }

  void ordered(MoveOrder order) {
    Followed known = moves.get(order.service());
    if (known != null && known.move.order().id() >= order.id()) {
      return;
    }
    Instant now = clock.instant();
    Followed followed = new Followed(new OrderedMove(order, now), now);
    moves.put(order.service(), followed);
    log.event("move-ordered")
        .with("service", order.service())
        .with("version", order.version())
        .with("order", order.id())
        .with("lengthMillis", order.length().toMillis())
        .write();
    MoveStatement statement = statements.get(order.service());
    if (statement != null) {
      apply(followed, statement);
    }
    tick();
  }

  /** Reads what was stated before this process started. */
  void readStatements() {
    store
        .newest(Stream.STATEMENTS)
        .whenComplete(
            (page, error) -> {
              if (error == null) {
                statementsRead(page);
              } else if (!statementsKnown) {
                control.schedule(
                    this::readStatements, READ_RETRY.toMillis(), TimeUnit.MILLISECONDS);
              }
            });
  }

  private void statementsRead(Page page) {
    statementsKnown = true;
    for (KeyedStore.Item item : page.items()) {
      records
          .statement(item)
          .ifPresent(statement -> statements.put(statement.service(), statement));
    }
    moves.forEach(
        (service, followed) -> {
          MoveStatement statement = statements.get(service);
          if (statement != null) {
            apply(followed, statement);
          }
        });
    tick();
  }

  private void apply(Followed followed, MoveStatement statement) {
    OrderedMove move = followed.move;
    if (!statement.refersTo(move.order()) || followed.stated == statement.state()) {
      return;
    }
    followed.stated = statement.state();
    if (statement.isFinal()) {
      end(followed, statement.state(), "store");
    } else {
      long millis = Math.max(0, System.currentTimeMillis() - statement.startedMillis());
      move.adoptElapsed(Duration.ofMillis(millis), clock.instant());
    }
  }

  private void end(Followed followed, State state, String source) {
    if (followed.move.state() == state) {
      return;
    }
    followed.move.applyFinalState(state);
    log.event("move-ended")
        .with("service", followed.move.order().service())
        .with("version", followed.move.order().version())
        .with("state", state.name())
        .with("source", source)
        .with("reason", followed.move.reason())
        .with("figures", followed.move.figures().orElse("none"))
        .write();
  }

  /** Takes what another node counts and knows. */
  void evidence(MoveEvidence evidence) {
    Followed followed = moves.get(evidence.getService());
    if (followed != null && evidence.getCountsCount() > 0) {
      followed.move.addCounts(
          evidence.getInstance(),
          evidence.getVersion(),
          EvidenceCounts.decode(evidence.getCountsList()));
    }
    evidence.getMovesList().forEach(fact -> fact(fact, evidence.getInstance()));
  }

  private void fact(MoveFact fact, String source) {
    Followed followed = moves.get(fact.getService());
    if (followed == null || followed.move.order().id() < fact.getOrder()) {
      Duration length = Duration.ofNanos(fact.getLengthMicros() * 1000);
      ordered(new MoveOrder(fact.getOrder(), fact.getService(), fact.getVersion(), length));
      followed = moves.get(fact.getService());
    }
    if (followed.move.order().id() != fact.getOrder()) {
      return;
    }
    OrderedMove move = followed.move;
    switch (fact.getPhase()) {
      case MOVE_FOUND_BAD -> move.markBad(source);
      case MOVE_ROLLED_BACK -> stated(followed, State.ROLLED_BACK, source);
      case MOVE_COMPLETED -> stated(followed, State.COMPLETED, source);
      default -> {
        move.adoptElapsed(Duration.ofNanos(fact.getElapsedMicros() * 1000), clock.instant());
        if (fact.getStated() && followed.stated == null) {
          followed.stated = State.RUNNING;
        }
      }
    }
  }

  private void stated(Followed followed, State state, String source) {
    followed.stated = state;
    end(followed, state, source);
  }

  List<MoveFact> facts() {
    Instant now = clock.instant();
    List<MoveFact> facts = new ArrayList<>();
    moves.forEach(
        (service, followed) ->
            facts.add(
                MoveFact.newBuilder()
                    .setService(service)
                    .setVersion(followed.move.order().version())
                    .setOrder(followed.move.order().id())
                    .setPhase(phase(followed.move))
                    .setElapsedMicros(followed.move.elapsed(now).toNanos() / 1000)
                    .setLengthMicros(followed.move.order().length().toNanos() / 1000)
                    .setStated(followed.stated != null)
                    .build()));
    return facts;
  }

  private static MovePhase phase(OrderedMove move) {
    return switch (move.state()) {
      case COMPLETED -> MovePhase.MOVE_COMPLETED;
      case ROLLED_BACK -> MovePhase.MOVE_ROLLED_BACK;
      case RUNNING -> move.isFoundBad() ? MovePhase.MOVE_FOUND_BAD : MovePhase.MOVE_RUNNING;
    };
  }

  /** Looks at the evidence, divides the calls anew and states what is due. */
  void tick() {
    Instant now = clock.instant();
    Map<String, VersionRule> next = new HashMap<>();
    moves.forEach(
        (service, followed) -> {
          OrderedMove move = followed.move;
          if (move.evaluate(now)) {
            log.event("move-found-bad")
                .with("service", service)
                .with("version", move.order().version())
                .with("reason", move.reason())
                .write();
          }
          next.put(service, statementsKnown || followed.stated != null ? move.rule() : held(move));
          State due = move.dueState(newTargetsServe(move.order()), now);
          if (due != followed.due) {
            followed.due = due;
            followed.dueSince = now;
          }
        });
    if (!next.equals(rules)) {
      rules = Map.copyOf(next);
      rules.forEach(
          (service, rule) ->
              log.event("version-share")
                  .with("service", service)
                  .with("version", rule.version())
                  .with("share", rule.share())
                  .write());
      rulesChanged.accept(rules);
    }
    moves.values().forEach(followed -> state(followed, now));
  }

  /** No calls for the new version while it is not known whether the move has ended. */
  private static VersionRule held(OrderedMove move) {
    return new VersionRule(move.order().version(), 0, Fallback.NONE);
  }

  private boolean newTargetsServe(MoveOrder order) {
    int fresh = 0;
    int old = 0;
    for (TargetStatus status : statuses.get().values()) {
      if (status.getPhase() == TargetPhase.READY && status.getService().equals(order.service())) {
        boolean isNew = status.getVersion().equals(order.version());
        fresh += isNew ? status.getSlots() : 0;
        old += isNew ? 0 : status.getSlots();
      }
    }
    return fresh > 0 && fresh >= old * LEAST_NEW_SLOTS;
  }

  private void state(Followed followed, Instant now) {
    if (followed.stated == followed.due || writing || !statementsKnown) {
      return;
    }
    if (followed.stated != null && followed.stated != State.RUNNING) {
      return;
    }
    boolean myTurn = !now.isBefore(followed.dueSince.plus(TURN.multipliedBy(turn())));
    if (!myTurn || now.isBefore(triedAt.plus(BETWEEN_TRIES))) {
      return;
    }
    triedAt = now;
    writing = true;
    store
        .newest(Stream.STATEMENTS)
        .thenCompose(page -> write(followed, page))
        .whenComplete((done, error) -> written(followed, error));
  }

  private int turn() {
    return (int)
        statuses.get().values().stream()
            .filter(status -> !status.getStoreLost() && !status.getNodeStops())
            .filter(status -> status.getNode().compareTo(node) < 0)
            .count();
  }

  private CompletionStage<Optional<MoveStatement>> write(Followed followed, Page page) {
    statementsRead(page);
    if (followed.stated == followed.due || followed.move.state() != State.RUNNING) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    MoveOrder order = followed.move.order();
    long elapsed = followed.move.elapsed(clock.instant()).toMillis();
    MoveStatement statement =
        new MoveStatement(
            order.service(),
            order.version(),
            followed.due,
            order.id(),
            System.currentTimeMillis() - elapsed);
    return store
        .append(
            Stream.STATEMENTS,
            records.statementKey(order.service()),
            records.encode(statement),
            OptionalLong.of(page.end()))
        .thenApply(
            end -> {
              apply(followed, statement);
              return Optional.of(statement);
            });
  }

  private void written(Followed followed, Throwable error) {
    control.execute(
        () -> {
          writing = false;
          if (error != null) {
            log.event("statement-not-written")
                .with("service", followed.move.order().service())
                .with("state", followed.due.name())
                .with("reason", String.valueOf(error))
                .write();
          }
        });
  }
}
