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
import org.cuminlatch.core.move.OrderHistory;
import org.cuminlatch.core.move.OrderHistory.Kind;
import org.cuminlatch.core.move.OrderPosition;
import org.cuminlatch.core.move.OrderedMove;
import org.cuminlatch.core.retry.ExponentialBackoff;
import org.cuminlatch.core.route.VersionRule;
import org.cuminlatch.core.route.VersionRule.Fallback;
import org.cuminlatch.core.store.StoreEras;
import org.cuminlatch.core.store.StoredMark;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Appended;
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
 * no statement was written since the node read them, so that the first final statement stands. It
 * stands also if the store returns from an older copy without it: a node that knows of it writes it
 * again.
 */
final class MoveControl {

  /** Delay of a node's turn for each node that precedes it by name. */
  private static final Duration TURN_DELAY = Duration.ofMillis(700);

  /** Delay before the second attempt to read the stored statements. */
  private static final Duration MIN_READ_RETRY_DELAY = Duration.ofMillis(700);

  /**
   * Longest delay between two attempts to read the statements. Each call to the store has a cost,
   * and a node that is cut off from it makes many; other nodes tell the state of moves meanwhile.
   */
  private static final Duration MAX_READ_RETRY_DELAY = Duration.ofSeconds(4);

  /** Minimum time between two attempts to write a statement. */
  private static final Duration MIN_WRITE_INTERVAL = Duration.ofMillis(300);

  /** Slots that new targets need before a move is complete, as a share of the old ones' slots. */
  private static final double MIN_NEW_SLOT_SHARE = 0.5;

  /**
   * Time after a return of the store for which no new end is stated, so that nodes which know of a
   * lost end can write it first; a node that was cut off might state another one.
   */
  private static final Duration END_DELAY = Duration.ofSeconds(3);

  /**
   * Number of evaluations after an order was read at another position for which the nodes are told;
   * evidence is sent with each second one at least.
   */
  private static final int POSITION_TICKS = 2;

  private final String node;
  private final EventLoop control;
  private final InstantSource clock;
  private final KeyedStore store;
  private final StoreEraControl eras;
  private final OperatorRecordCodec recordCodec;
  private final EventLog log;
  private final Supplier<Map<String, TargetStatus>> statuses;
  private final Consumer<Map<String, VersionRule>> rulesListener;
  private final Map<String, FollowedMove> moves = new HashMap<>();
  private final Map<String, OrderHistory> histories = new HashMap<>();

  /** Orders of which it is unclear whether they came before the latest known one, by service. */
  private final Map<String, MoveOrder> unclearOrders = new HashMap<>();

  private final Map<String, ReadStatement> statements = new HashMap<>();
  private int positionTicks;
  private Map<String, VersionRule> rules = Map.of();
  private boolean statementsRequested;
  private int failedReads;
  private boolean statementsLoaded;
  private Instant lastWriteAttemptAt = Instant.MIN;
  private boolean writing;

  MoveControl(
      String node,
      EventLoop control,
      InstantSource clock,
      KeyedStore store,
      StoreEraControl eras,
      OperatorRecordCodec recordCodec,
      EventLog log,
      Supplier<Map<String, TargetStatus>> statuses,
      Consumer<Map<String, VersionRule>> rulesListener) {
    this.node = node;
    this.control = control;
    this.clock = clock;
    this.store = store;
    this.eras = eras;
    this.recordCodec = recordCodec;
    this.log = log;
    this.statuses = statuses;
    this.rulesListener = rulesListener;
  }

  /**
   * A statement that was read.
   *
   * @param statement the statement
   * @param era era of the store, {@link StoreEras#NO_ERA} for none
   */
  private record ReadStatement(MoveStatement statement, long era) {}

  /** A move with the statement that is stored and the one that is due. */
  private static final class FollowedMove {

    private final OrderedMove move;
    private final OrderHistory history;
    private State stated;
    private StoredMark statedMark;
    private State due = State.RUNNING;
    private Instant dueSince;

    /** Whether the store may have lost the statement, or holds another one than the first. */
    private boolean restate;

    /** Era of the store in which the end was stated first, as far as this node knows. */
    private long endedEra;

    FollowedMove(MoveOrder order, OrderHistory history, Instant now) {
      this.move = new OrderedMove(order, now);
      this.history = history;
      this.dueSince = now;
    }

    boolean hasEnded() {
      return move.state() != State.RUNNING;
    }

    void setStated(State state, StoredMark mark) {
      stated = state;
      statedMark = mark;
      restate = false;
    }

    /** Forgets that the store holds a statement, which it may have lost. */
    void forgetStated(Instant now) {
      stated = null;
      restateFrom(now);
    }

    void restateFrom(Instant now) {
      restate = true;
      dueSince = now;
    }
  }

  boolean isActive() {
    return positionTicks > 0
        || !unclearOrders.isEmpty()
        || moves.values().stream()
            .anyMatch(
                followedMove ->
                    followedMove.stated == null
                        || followedMove.restate
                        || !followedMove.hasEnded());
  }

  /** Returns whether a version is the one to which the latest move of the service leads. */
  boolean isNewVersion(String service, String version) {
    FollowedMove followedMove = moves.get(service);
    return followedMove != null && followedMove.move.order().version().equals(version);
  }

  /**
   * Handles an order that was read from the store.
   *
   * @param order the order, whose id is its offset
   * @param era era of the store
   */
  void onStoredOrder(MoveOrder order, long era) {
    MoveOrder positioned = order.withId(new OrderPosition(era, order.id()).id());
    onOrder(positioned, positioned.id());
  }

  /**
   * Handles an order.
   *
   * @param order the order at the position at which it was first read
   * @param readAs position at which it was last read
   */
  private void onOrder(MoveOrder order, long readAs) {
    OrderHistory history = histories.computeIfAbsent(order.service(), unused -> new OrderHistory());
    MoveOrder latest = order.withId(readAs);
    boolean rewritten = !eras.hasReturnedWithin(StoreEras.OPERATOR_REWRITE_PERIOD);
    switch (history.isCurrent(order) ? Kind.SAME : history.classify(latest, rewritten)) {
      case NEW -> follow(order, readAs, history);
      case SAME -> {
        recordPosition(history, order.id());
        recordPosition(history, readAs);
      }
      case UNCLEAR -> {
        if (!latest.equals(unclearOrders.put(order.service(), latest))) {
          log.event("move-order-unclear")
              .with("service", order.service())
              .with("version", order.version())
              .with("order", readAs)
              .write();
        }
      }
      default -> {} // an order that came before
    }
  }

  private void recordPosition(OrderHistory history, long readAs) {
    if (history.recordPosition(readAs)) {
      positionTicks = POSITION_TICKS;
    }
    String service = history.current().orElseThrow().service();
    MoveOrder unclear = unclearOrders.remove(service);
    if (unclear != null && unclear.id() > history.readAs()) {
      onOrder(unclear, unclear.id());
    }
  }

  private void follow(MoveOrder order, long readAs, OrderHistory history) {
    history.accept(order);
    FollowedMove followedMove = new FollowedMove(order, history, clock.instant());
    moves.put(order.service(), followedMove);
    log.event("move-ordered")
        .with("service", order.service())
        .with("version", order.version())
        .with("order", order.id())
        .with("lengthMillis", order.length().toMillis())
        .write();
    recordPosition(history, readAs);
    ReadStatement read = statements.get(order.service());
    if (read != null) {
      apply(followedMove, read);
    }
    if (followedMove.stated != null && read.era() < eras.latest()) {
      followedMove.forgetStated(clock.instant());
    }
    if (!statementsRequested) {
      statementsRequested = true;
      readStatements();
    }
    tick();
  }

  /** Prepares that statements which the store may have lost are written again. */
  void onStoreReturned() {
    Instant now = clock.instant();
    moves.forEach(
        (service, followedMove) -> {
          if (followedMove.stated != null
              && eras.mayBeLost(followedMove.statedMark, StoreEras.MAX_COPY_AGE)) {
            followedMove.forgetStated(now);
            eras.onRewrite(Stream.STATEMENTS, service);
          }
        });
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
                Duration delay =
                    new ExponentialBackoff(MIN_READ_RETRY_DELAY, MAX_READ_RETRY_DELAY)
                        .maxDelayAfter(failedReads);
                failedReads++;
                control.schedule(this::readStatements, delay.toMillis(), TimeUnit.MILLISECONDS);
              }
            });
  }

  private void onStatements(Page page) {
    statementsLoaded = true;
    for (KeyedStore.Item item : page.items()) {
      recordCodec
          .decodeStatement(item)
          .ifPresent(
              statement ->
                  statements.put(
                      statement.service(), new ReadStatement(statement, page.eraOrNone())));
    }
    moves.forEach(
        (service, followedMove) -> {
          ReadStatement read = statements.get(service);
          if (read != null && read.era() >= eras.latest()) {
            apply(followedMove, read);
          }
        });
    tick();
  }

  private void apply(FollowedMove followedMove, ReadStatement read) {
    OrderedMove move = followedMove.move;
    MoveStatement statement = read.statement();
    if (!followedMove.history.isStatedBy(statement)) {
      return;
    }
    boolean endIsKnown = followedMove.hasEnded() && read.era() > followedMove.endedEra;
    if (endIsKnown && statement.state() != move.state()) {
      // the store has lost the end, and perhaps another one was stated since; the first stands
      boolean restated = followedMove.restate;
      followedMove.setStated(statement.state(), eras.mark(OptionalLong.of(read.era())));
      followedMove.restateFrom(restated ? followedMove.dueSince : clock.instant());
      return;
    }
    boolean unchanged = followedMove.stated == statement.state();
    followedMove.setStated(statement.state(), eras.mark(OptionalLong.of(read.era())));
    if (unchanged) {
      return;
    }
    if (statement.isFinal()) {
      endMove(followedMove, statement.state(), read.era(), "store");
    } else {
      long millis = Math.max(0, System.currentTimeMillis() - statement.startedMillis());
      move.adoptElapsed(Duration.ofMillis(millis), clock.instant());
    }
  }

  private void endMove(FollowedMove followedMove, State state, long era, String source) {
    followedMove.endedEra = followedMove.hasEnded() ? Math.min(followedMove.endedEra, era) : era;
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
    Duration length = Duration.ofNanos(fact.getLengthMicros() * 1000);
    MoveOrder order = new MoveOrder(fact.getOrder(), fact.getService(), fact.getVersion(), length);
    onOrder(order, Math.max(fact.getOrder(), fact.getReadAs()));
    FollowedMove followedMove = moves.get(fact.getService());
    if (followedMove == null || !followedMove.history.isCurrent(order)) {
      return;
    }
    OrderedMove move = followedMove.move;
    switch (fact.getPhase()) {
      case MOVE_FOUND_BAD -> move.markBad(source);
      case MOVE_ROLLED_BACK -> applyFinalFact(followedMove, State.ROLLED_BACK, fact, source);
      case MOVE_COMPLETED -> applyFinalFact(followedMove, State.COMPLETED, fact, source);
      default -> {
        move.adoptElapsed(Duration.ofNanos(fact.getElapsedMicros() * 1000), clock.instant());
        if (fact.getStated() && followedMove.stated == null && !isOutdated(fact)) {
          followedMove.setStated(State.RUNNING, mark(fact));
        }
      }
    }
  }

  /** Returns whether a node tells of a statement in an era whose statements may be lost. */
  private boolean isOutdated(MoveFact fact) {
    return fact.getStatedEra() < eras.latest();
  }

  private StoredMark mark(MoveFact fact) {
    return eras.mark(OptionalLong.of(fact.getStatedEra()));
  }

  /** Applies the end of a move that another node knows; of two ends, the earlier one stands. */
  private void applyFinalFact(
      FollowedMove followedMove, State state, MoveFact fact, String source) {
    boolean otherEnd = followedMove.hasEnded() && followedMove.move.state() != state;
    if (otherEnd && followedMove.endedEra < fact.getEndedEra()) {
      return;
    }
    if (fact.getStated() && !isOutdated(fact)) {
      followedMove.setStated(state, mark(fact));
    } else if (otherEnd || !followedMove.hasEnded()) {
      followedMove.restateFrom(clock.instant());
    }
    endMove(followedMove, state, fact.getEndedEra(), source);
  }

  List<MoveFact> moveFacts() {
    Instant now = clock.instant();
    positionTicks = Math.max(0, positionTicks - 1);
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
                    .setStated(followedMove.stated != null && !followedMove.restate)
                    .setReadAs(followedMove.history.readAs())
                    .setStatedEra(statedEra(followedMove))
                    .setEndedEra(followedMove.endedEra)
                    .build()));
    return facts;
  }

  private static long statedEra(FollowedMove followedMove) {
    return followedMove.stated == null ? StoreEras.NO_ERA : followedMove.statedMark.era();
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
    if (!unclearOrders.isEmpty() && !eras.hasReturnedWithin(StoreEras.OPERATOR_REWRITE_PERIOD)) {
      List<MoveOrder> decided = List.copyOf(unclearOrders.values());
      unclearOrders.clear();
      decided.forEach(order -> onOrder(order, order.id()));
    }
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
          newRules.put(service, isEndKnown(followedMove) ? move.rule() : withoutCalls(move));
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

  /** Returns whether this node would know if the move had ended. */
  private boolean isEndKnown(FollowedMove followedMove) {
    return statementsLoaded || followedMove.stated != null || followedMove.restate;
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
    if (followedMove.stated == followedMove.due) {
      followedMove.restate = false;
      return;
    }
    if (writing || !statementsLoaded) {
      return;
    }
    boolean endStated = followedMove.stated != null && followedMove.stated != State.RUNNING;
    if (endStated && !followedMove.restate) {
      return;
    }
    boolean newEnd = followedMove.due != State.RUNNING && !followedMove.hasEnded();
    if (newEnd && eras.hasReturnedWithin(END_DELAY)) {
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
    State due = followedMove.hasEnded() ? followedMove.move.state() : followedMove.due;
    boolean endToldByOthers = followedMove.hasEnded() && !followedMove.restate;
    if (followedMove.stated == due || endToldByOthers || eras.isOutdated(page.era())) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    MoveOrder order = followedMove.move.order();
    long elapsed = followedMove.move.elapsed(clock.instant()).toMillis();
    MoveStatement statement =
        new MoveStatement(
            order.service(),
            order.version(),
            due,
            followedMove.history.readAs(),
            System.currentTimeMillis() - elapsed);
    return store
        .append(
            Stream.STATEMENTS,
            recordCodec.statementKey(order.service()),
            recordCodec.encode(statement),
            OptionalLong.of(page.end()))
        .thenApply(appended -> onAppended(followedMove, statement, page, appended));
  }

  /**
   * Applies a statement that was written, unless the store has returned from an older copy since
   * the statements were read. The end of the stream that the write required proves nothing then, so
   * that they are read again.
   */
  private Optional<MoveStatement> onAppended(
      FollowedMove followedMove, MoveStatement statement, Page page, Appended appended) {
    if (!appended.era().equals(page.era()) || eras.isOutdated(appended.era())) {
      return Optional.empty();
    }
    long era = page.eraOrNone();
    if (followedMove.restate && followedMove.hasEnded()) {
      followedMove.setStated(statement.state(), eras.mark(appended.era()));
    } else {
      apply(followedMove, new ReadStatement(statement, era));
    }
    return Optional.of(statement);
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
