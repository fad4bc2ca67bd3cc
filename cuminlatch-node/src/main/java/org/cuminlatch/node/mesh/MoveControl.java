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
 * Follows the ordered moves and writes statements of their progress to the store; used on the
 * control loop.
 *
 * <p>Each node evaluates the evidence on its own. The connected nodes that can read the store take
 * turns to write a statement that is due, the first by name without delay. A write succeeds only if
 * no statement was written since the node read them, so that the first final statement stands.
 */
final class MoveControl {

  /** Delay of a node's turn for each node that precedes it by name. */
  private static final Duration TURN_DELAY = Duration.ofMillis(700);

  /** Delay before another attempt to read the stored statements. */
  private static final Duration READ_RETRY_DELAY = Duration.ofMillis(700);

  /** Minimum time between two attempts to write a statement. */
  private static final Duration MIN_WRITE_INTERVAL = Duration.ofMillis(300);

  /** Slots that new targets need before a move is complete, as a share of the old ones' slots. */
  private static final double MIN_NEW_SLOT_SHARE = 0.5;

  private final String node;
  private final EventLoop control;
  private final InstantSource clock;
  private final KeyedStore store;
  private final OperatorRecordCodec recordCodec;
  private final EventLog log;
  private final Supplier<Map<String, TargetStatus>> statuses;
  private final Consumer<Map<String, VersionRule>> rulesListener;
  private final Map<String, FollowedMove> moves = new HashMap<>();
  private final Map<String, MoveStatement> statements = new HashMap<>();
  private Map<String, VersionRule> rules = Map.of();
  private boolean statementsRequested;
  private boolean statementsLoaded;
  private Instant lastWriteAttemptAt = Instant.MIN;
  private boolean writing;

  MoveControl(
      String node,
      EventLoop control,
      InstantSource clock,
      KeyedStore store,
      OperatorRecordCodec recordCodec,
      EventLog log,
      Supplier<Map<String, TargetStatus>> statuses,
      Consumer<Map<String, VersionRule>> rulesListener) {
    this.node = node;
    this.control = control;
    this.clock = clock;
    this.store = store;
    this.recordCodec = recordCodec;
    this.log = log;
    this.statuses = statuses;
    this.rulesListener = rulesListener;
  }

  /** A move with the statement that is stored and the one that is due. */
  private static final class FollowedMove {

    private final OrderedMove move;
    private State stated;
    private State due = State.RUNNING;
    private Instant dueSince;

    FollowedMove(OrderedMove move, Instant now) {
      this.move = move;
      this.dueSince = now;
    }
  }

  boolean isActive() {
    return moves.values().stream()
        .anyMatch(
            followedMove ->
                followedMove.stated == null || followedMove.move.state() == State.RUNNING);
  }

  /** Returns whether a version is the one to which the latest move of the service leads. */
  boolean isNewVersion(String service, String version) {
    FollowedMove followedMove = moves.get(service);
    return followedMove != null && followedMove.move.order().version().equals(version);
  }

  void onOrder(MoveOrder order) {
    FollowedMove current = moves.get(order.service());
    if (current != null && current.move.order().id() >= order.id()) {
      return;
    }
    Instant now = clock.instant();
    FollowedMove followedMove = new FollowedMove(new OrderedMove(order, now), now);
    moves.put(order.service(), followedMove);
    log.event("move-ordered")
        .with("service", order.service())
        .with("version", order.version())
        .with("order", order.id())
        .with("lengthMillis", order.length().toMillis())
        .write();
    MoveStatement statement = statements.get(order.service());
    if (statement != null) {
      apply(followedMove, statement);
    }
    if (!statementsRequested) {
      statementsRequested = true;
      readStatements();
    }
    tick();
  }

  /** Reads the statements that were written before the first order reached this process. */
  private void readStatements() {
    store
        .newest(Stream.STATEMENTS)
        .whenComplete(
            (page, error) -> {
              if (error == null) {
                onStatements(page);
              } else if (!statementsLoaded) {
                control.schedule(
                    this::readStatements, READ_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
              }
            });
  }

  private void onStatements(Page page) {
    statementsLoaded = true;
    for (KeyedStore.Item item : page.items()) {
      recordCodec
          .decodeStatement(item)
          .ifPresent(statement -> statements.put(statement.service(), statement));
    }
    moves.forEach(
        (service, followedMove) -> {
          MoveStatement statement = statements.get(service);
          if (statement != null) {
            apply(followedMove, statement);
          }
        });
    tick();
  }

  private void apply(FollowedMove followedMove, MoveStatement statement) {
    OrderedMove move = followedMove.move;
    if (!statement.refersTo(move.order()) || followedMove.stated == statement.state()) {
      return;
    }
    followedMove.stated = statement.state();
    if (statement.isFinal()) {
      endMove(followedMove, statement.state(), "store");
    } else {
      long millis = Math.max(0, System.currentTimeMillis() - statement.startedMillis());
      move.adoptElapsed(Duration.ofMillis(millis), clock.instant());
    }
  }

  private void endMove(FollowedMove followedMove, State state, String source) {
    if (followedMove.move.state() == state) {
      return;
    }
    followedMove.move.applyFinalState(state);
    log.event("move-ended")
        .with("service", followedMove.move.order().service())
        .with("version", followedMove.move.order().version())
        .with("state", state.name())
        .with("source", source)
        .with("reason", followedMove.move.reason())
        .with("figures", followedMove.move.figures().orElse("none"))
        .write();
  }

  /** Applies the counts and the move facts of a node. */
  void onEvidence(MoveEvidence evidence) {
    FollowedMove followedMove = moves.get(evidence.getService());
    if (followedMove != null && evidence.getCountsCount() > 0) {
      followedMove.move.addCounts(
          evidence.getInstance(),
          evidence.getVersion(),
          EvidenceCounts.decode(evidence.getCountsList()));
    }
    evidence.getMovesList().forEach(fact -> applyFact(fact, evidence.getInstance()));
  }

  private void applyFact(MoveFact fact, String source) {
    FollowedMove followedMove = moves.get(fact.getService());
    if (followedMove == null || followedMove.move.order().id() < fact.getOrder()) {
      Duration length = Duration.ofNanos(fact.getLengthMicros() * 1000);
      onOrder(new MoveOrder(fact.getOrder(), fact.getService(), fact.getVersion(), length));
      followedMove = moves.get(fact.getService());
    }
    if (followedMove.move.order().id() != fact.getOrder()) {
      return;
    }
    OrderedMove move = followedMove.move;
    switch (fact.getPhase()) {
      case MOVE_FOUND_BAD -> move.markBad(source);
      case MOVE_ROLLED_BACK -> applyFinalState(followedMove, State.ROLLED_BACK, source);
      case MOVE_COMPLETED -> applyFinalState(followedMove, State.COMPLETED, source);
      default -> {
        move.adoptElapsed(Duration.ofNanos(fact.getElapsedMicros() * 1000), clock.instant());
        if (fact.getStated() && followedMove.stated == null) {
          followedMove.stated = State.RUNNING;
        }
      }
    }
  }

  private void applyFinalState(FollowedMove followedMove, State state, String source) {
    followedMove.stated = state;
    endMove(followedMove, state, source);
  }

  List<MoveFact> moveFacts() {
    Instant now = clock.instant();
    List<MoveFact> facts = new ArrayList<>();
    moves.forEach(
        (service, followedMove) ->
            facts.add(
                MoveFact.newBuilder()
                    .setService(service)
                    .setVersion(followedMove.move.order().version())
                    .setOrder(followedMove.move.order().id())
                    .setPhase(phase(followedMove.move))
                    .setElapsedMicros(followedMove.move.elapsed(now).toNanos() / 1000)
                    .setLengthMicros(followedMove.move.order().length().toNanos() / 1000)
                    .setStated(followedMove.stated != null)
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

  /** Evaluates the evidence, updates the version shares and writes the statements that are due. */
  void tick() {
    Instant now = clock.instant();
    Map<String, VersionRule> newRules = new HashMap<>();
    moves.forEach(
        (service, followedMove) -> {
          OrderedMove move = followedMove.move;
          if (move.evaluate(now)) {
            log.event("move-found-bad")
                .with("service", service)
                .with("version", move.order().version())
                .with("reason", move.reason())
                .write();
          }
          newRules.put(
              service,
              statementsLoaded || followedMove.stated != null ? move.rule() : withoutCalls(move));
          State due = move.dueState(enoughNewTargetsReady(move.order()), now);
          if (due != followedMove.due) {
            followedMove.due = due;
            followedMove.dueSince = now;
          }
        });
    if (!newRules.equals(rules)) {
      rules = Map.copyOf(newRules);
      rules.forEach(
          (service, rule) ->
              log.event("version-share")
                  .with("service", service)
                  .with("version", rule.version())
                  .with("share", rule.share())
                  .write());
      rulesListener.accept(rules);
    }
    moves.values().forEach(followedMove -> writeIfDue(followedMove, now));
  }

  /** Returns a rule without calls to the new version, while the end of the move is unknown. */
  private static VersionRule withoutCalls(OrderedMove move) {
    return new VersionRule(move.order().version(), 0, Fallback.NONE);
  }

  private boolean enoughNewTargetsReady(MoveOrder order) {
    int newSlots = 0;
    int oldSlots = 0;
    for (TargetStatus status : statuses.get().values()) {
      if (status.getPhase() == TargetPhase.READY && status.getService().equals(order.service())) {
        boolean isNewTarget = status.getVersion().equals(order.version());
        newSlots += isNewTarget ? status.getSlots() : 0;
        oldSlots += isNewTarget ? 0 : status.getSlots();
      }
    }
    return newSlots > 0 && newSlots >= oldSlots * MIN_NEW_SLOT_SHARE;
  }

  private void writeIfDue(FollowedMove followedMove, Instant now) {
    if (followedMove.stated == followedMove.due || writing || !statementsLoaded) {
      return;
    }
    if (followedMove.stated != null && followedMove.stated != State.RUNNING) {
      return;
    }
    boolean isMyTurn =
        !now.isBefore(followedMove.dueSince.plus(TURN_DELAY.multipliedBy(precedingNodes())));
    if (!isMyTurn || now.isBefore(lastWriteAttemptAt.plus(MIN_WRITE_INTERVAL))) {
      return;
    }
    lastWriteAttemptAt = now;
    writing = true;
    store
        .newest(Stream.STATEMENTS)
        .thenCompose(page -> appendIfDue(followedMove, page))
        .whenComplete((done, error) -> onWritten(followedMove, error));
  }

  private int precedingNodes() {
    return (int)
        statuses.get().values().stream()
            .filter(status -> !status.getStoreLost() && !status.getNodeStops())
            .filter(status -> status.getNode().compareTo(node) < 0)
            .count();
  }

  private CompletionStage<Optional<MoveStatement>> appendIfDue(
      FollowedMove followedMove, Page page) {
    onStatements(page);
    if (followedMove.stated == followedMove.due || followedMove.move.state() != State.RUNNING) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    MoveOrder order = followedMove.move.order();
    long elapsed = followedMove.move.elapsed(clock.instant()).toMillis();
    MoveStatement statement =
        new MoveStatement(
            order.service(),
            order.version(),
            followedMove.due,
            order.id(),
            System.currentTimeMillis() - elapsed);
    return store
        .append(
            Stream.STATEMENTS,
            recordCodec.statementKey(order.service()),
            recordCodec.encode(statement),
            OptionalLong.of(page.end()))
        .thenApply(
            end -> {
              apply(followedMove, statement);
              return Optional.of(statement);
            });
  }

  private void onWritten(FollowedMove followedMove, Throwable error) {
    control.execute(
        () -> {
          writing = false;
          if (error != null) {
            log.event("statement-not-written")
                .with("service", followedMove.move.order().service())
                .with("state", followedMove.due.name())
                .with("reason", String.valueOf(error))
                .write();
          }
        });
  }
}
