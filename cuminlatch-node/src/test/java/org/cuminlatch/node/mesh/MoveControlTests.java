package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cuminlatch.core.move.MoveOrder;
import org.cuminlatch.core.move.MoveStatement;
import org.cuminlatch.core.move.MoveStatement.State;
import org.cuminlatch.core.move.OrderPosition;
import org.cuminlatch.core.route.VersionRule;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.node.mesh.KeyedStore.Stream;
import org.cuminlatch.wire.proto.call.MoveEvidence;
import org.cuminlatch.wire.proto.call.MoveFact;
import org.cuminlatch.wire.proto.call.TargetStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A move when the store returns from an older copy")
class MoveControlTests {

  private static final String SERVICE = "bookings";
  private static final Duration LENGTH = Duration.ofSeconds(10);
  private static final Duration TICK = Duration.ofMillis(400);
  private static final int TICKS_UNTIL_WRITTEN = 20;

  private final EventLoop loop = new DefaultEventLoop();
  private final ReturningStore store = new ReturningStore();
  private final AtomicReference<Instant> now =
      new AtomicReference<>(Instant.parse("2026-12-06T10:00:00Z"));
  private final Node first = new Node("a");

  @AfterEach
  void stop() {
    loop.shutdownGracefully();
  }

  /** A node that follows moves; facts reach other nodes only when the test passes them on. */
  private final class Node {

    private final Map<String, VersionRule> rules = new HashMap<>();
    private final StoreEraControl eras;
    private final MoveControl moves;

    Node(String name) {
      InstantSource clock = now::get;
      EventLog log = EventLog.start(clock, name);
      eras = new StoreEraControl(loop, clock, new java.util.SplittableRandom(1), log);
      moves =
          new MoveControl(
              name,
              loop,
              clock,
              store,
              eras,
              new TextCodec(),
              log,
              () -> Map.of(name, TargetStatus.newBuilder().setNode(name).build()),
              rules::putAll);
      eras.listen(moves::onStoreReturned);
      learnOfEra();
    }

    void learnOfEra() {
      run(() -> eras.onStoreEra(store.era()));
    }

    void read(long offset, String version) {
      read(offset, SERVICE, version);
    }

    void read(long offset, String service, String version) {
      MoveOrder order = new MoveOrder(offset, service, version, LENGTH);
      run(() -> moves.onStoredOrder(order, store.era()));
    }

    void tick(int ticks) {
      for (int i = 0; i < ticks; i++) {
        now.set(now.get().plus(TICK));
        run(moves::tick);
        run(() -> {}); // what a write that has ended leaves to the loop
      }
    }

    MoveFact fact() {
      List<MoveFact> facts = new ArrayList<>();
      run(() -> facts.addAll(moves.moveFacts()));
      return facts.get(0);
    }

    void hear(Node other) {
      MoveEvidence evidence =
          MoveEvidence.newBuilder().setService(SERVICE).addMoves(other.fact()).build();
      run(() -> moves.onEvidence(evidence));
    }

    VersionRule rule() {
      return rules.get(SERVICE);
    }
  }

  private void run(Runnable task) {
    loop.submit(task).syncUninterruptibly();
  }

  private Optional<MoveStatement> stated() {
    List<Item> items = store.newest(Stream.STATEMENTS).toCompletableFuture().join().items();
    return items.stream().findFirst().flatMap(item -> new TextCodec().decodeStatement(item));
  }

  private List<String> statedServices() {
    List<Item> items = store.newest(Stream.STATEMENTS).toCompletableFuture().join().items();
    return items.stream().map(Item::key).toList();
  }

  private Optional<State> statedState() {
    return stated().map(MoveStatement::state);
  }

  private void loseStatementsFrom(long offset) {
    store.returnWithout(Stream.STATEMENTS, offset);
  }

  /** Lets the first node order a move and roll it back, as there are no targets of its version. */
  private void rollBack() {
    first.read(100, "v2");
    first.tick(TICKS_UNTIL_WRITTEN);
    assertThat(statedState(), is(Optional.of(State.RUNNING)));
    first.tick(TICKS_UNTIL_WRITTEN);
    assertThat(statedState(), is(Optional.of(State.ROLLED_BACK)));
  }

  @Nested
  class ThatRuns {

    /** Guards against a move that starts anew when all nodes restart. */
    @Test
    void isStatedAgainAsRunning() {
      first.read(100, "v2");
      first.tick(5);
      loseStatementsFrom(0);

      first.learnOfEra();
      first.tick(5);

      assertThat(statedState(), is(Optional.of(State.RUNNING)));
    }

    /** Guards against a statement that counts as stored because it was read before the return. */
    @Test
    void isStatedAgainIfItsOrderIsReadAfterTheReturn() {
      MoveStatement running =
          new MoveStatement(SERVICE, "v2", State.RUNNING, new OrderPosition(1, 100).id(), 0);
      store.put(Stream.STATEMENTS, SERVICE, new TextCodec().encode(running));
      first.read(90, "other", "v2");
      loseStatementsFrom(0);
      first.learnOfEra();

      first.read(100, "v2");
      first.tick(5);

      assertThat(statedServices().contains(SERVICE), is(true));
    }

    /** Guards against a second run when the operator writes the order again. */
    @Test
    void goesOnIfItsOrderIsWrittenAgainElsewhere() {
      first.read(100, "v2");
      first.tick(5);
      final long elapsed = first.fact().getElapsedMicros();
      loseStatementsFrom(0);
      first.learnOfEra();

      first.read(93, "v2");

      assertThat(first.fact().getElapsedMicros() >= elapsed, is(true));
      assertThat(first.fact().getOrder(), is(new OrderPosition(1, 100).id()));
      assertThat(first.fact().getReadAs(), is(new OrderPosition(2, 93).id()));
    }

    /** Guards against a return to the version before, whose order is the newest of the copy. */
    @Test
    void isNotReplacedByTheOrderBefore() {
      first.read(50, "v1");
      first.read(100, "v2");
      loseStatementsFrom(0);
      first.learnOfEra();

      first.read(50, "v1");
      first.tick(1);

      assertThat(first.rule().version(), is("v2"));
    }

    /** Guards against an order that is never followed because offsets have gone back. */
    @Test
    void isReplacedByLaterOrderAtLowerOffset() {
      first.read(100, "v2");
      loseStatementsFrom(0);
      first.learnOfEra();
      first.read(93, "v2");

      first.read(95, "v3");
      first.tick(1);

      assertThat(first.rule().version(), is("v3"));
    }

    /** Guards against an order that no node follows because it was unclear when it was read. */
    @Test
    void isReplacedByAnUnclearOrderOnceTheOperatorHadTimeToWriteAgain() {
      first.read(50, "v1");
      first.read(100, "v2");
      loseStatementsFrom(0);
      first.learnOfEra();
      first.read(95, "v1");

      now.set(now.get().plusSeconds(30));
      first.tick(1);

      assertThat(first.rule().version(), is("v1"));
    }
  }

  @Nested
  class ThatHasEnded {

    @Test
    void isStatedAgainAsEnded() {
      rollBack();
      loseStatementsFrom(1);
      assertThat(statedState(), is(Optional.of(State.RUNNING)));

      first.learnOfEra();
      first.tick(5);

      assertThat(statedState(), is(Optional.of(State.ROLLED_BACK)));
    }

    /** Guards against calls to the store for ends that the copy holds. */
    @Test
    void isNotStatedAgainLongAfter() {
      rollBack();
      now.set(now.get().plusSeconds(100));
      first.learnOfEra(); // the store still names the same era
      run(first.eras::recordContact);
      store.returnWithout(Stream.STATEMENTS, 2);
      final int calls = store.calls().size();

      first.learnOfEra();
      first.tick(5);

      assertThat(store.calls().size(), is(calls));
    }

    /** Guards against another end that a node which was cut off has stated meanwhile. */
    @Test
    void keepsTheFirstEnd() {
      rollBack();
      loseStatementsFrom(0);
      MoveStatement other =
          new MoveStatement(SERVICE, "v2", State.COMPLETED, new OrderPosition(1, 100).id(), 0);
      store.put(Stream.STATEMENTS, SERVICE, new TextCodec().encode(other));

      first.learnOfEra();
      first.tick(5);

      assertThat(statedState(), is(Optional.of(State.ROLLED_BACK)));
      assertThat(first.rule().share(), is(0.0));
    }

    /** Guards against two ends of which each node keeps the one that it has learned. */
    @Test
    void prefersTheFirstEndThatAnotherNodeTells() {
      rollBack();
      loseStatementsFrom(0);
      MoveStatement other =
          new MoveStatement(SERVICE, "v2", State.COMPLETED, new OrderPosition(2, 93).id(), 0);
      store.put(Stream.STATEMENTS, SERVICE, new TextCodec().encode(other));
      Node second = new Node("b");
      second.read(93, "v2");
      assertThat(second.rule().share(), is(1.0));
      first.learnOfEra();
      first.read(93, "v2");

      first.hear(second);
      first.tick(1);
      second.hear(first);
      second.tick(1);

      assertThat(second.rule().share(), is(0.0));
      assertThat(first.rule().share(), is(0.0));
    }

    /** Guards against a restarted node that runs the move again. */
    @Test
    void isToldToRestartedNodeThatReadsItsOrderElsewhere() {
      rollBack();
      loseStatementsFrom(0);
      first.learnOfEra();
      first.read(93, "v2");
      Node restarted = new Node("b");
      restarted.read(93, "v2");

      restarted.hear(first);
      restarted.tick(1);

      assertThat(restarted.rule().share(), is(0.0));
    }

    /** Guards against an end that a restarted node does not find because its order has moved. */
    @Test
    void isKnownToRestartedNodeByItsStatement() {
      rollBack();
      store.returnWithout(Stream.STATEMENTS, 2);
      Node restarted = new Node("b");

      restarted.read(93, "v2");
      restarted.tick(1);

      assertThat(restarted.rule().share(), is(0.0));
    }

    /** Guards against the end of an order that ends the same order when it is given again. */
    @Test
    void runsAgainIfItIsOrderedAgain() {
      rollBack();
      store.returnWithout(Stream.STATEMENTS, 2);
      first.learnOfEra();
      first.read(100, "v2");

      first.read(101, "v2");
      first.tick(TICKS_UNTIL_WRITTEN / 2);

      assertThat(statedState(), is(Optional.of(State.RUNNING)));
      assertThat(stated().get().order(), is(new OrderPosition(2, 101).id()));
    }
  }

  /** Keeps statements as text. */
  private static final class TextCodec implements OperatorRecordCodec {

    @Override
    public Optional<Decoded> decode(Item item) {
      return Optional.empty();
    }

    @Override
    public Optional<String> evacuatedZone(String key) {
      return Optional.empty();
    }

    @Override
    public Optional<MoveStatement> decodeStatement(Item item) {
      String[] fields = new String(item.value(), StandardCharsets.UTF_8).split(" ");
      return Optional.of(
          new MoveStatement(
              item.key(),
              fields[0],
              State.valueOf(fields[1]),
              Long.parseLong(fields[2]),
              Long.parseLong(fields[3])));
    }

    @Override
    public String statementKey(String service) {
      return service;
    }

    @Override
    public byte[] encode(MoveStatement statement) {
      return String.join(
              " ",
              statement.version(),
              statement.state().name(),
              String.valueOf(statement.order()),
              String.valueOf(statement.startedMillis()))
          .getBytes(StandardCharsets.UTF_8);
    }
  }
}
