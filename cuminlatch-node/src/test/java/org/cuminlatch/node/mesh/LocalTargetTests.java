package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.target.ExitToken;
import org.cuminlatch.core.target.TargetExit;
import org.cuminlatch.core.target.TargetReport;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.wire.proto.call.TargetPhase;
import org.cuminlatch.wire.proto.call.TargetStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A local target whose node can't reach the store")
class LocalTargetTests {

  private static final String KEY = "127.0.0.1:7000";
  private static final String INSTANCE = "i-1";
  private static final long BORN = 1000;
  private static final long LATER_BORN = 2000;
  private static final TargetExit EXIT = new TargetExit(INSTANCE, BORN);
  private static final KeyedStore.Item STORED_EXIT =
      new KeyedStore.Item(KEY, LocalTarget.exitRecord(EXIT).toByteArray(), 0);
  private static final int WAIT_SECONDS = 20;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final FailingStore store = new FailingStore();
  private final RecordingGate gate = new RecordingGate();
  private final StoreEraControl eras = EraFixture.create(loop);
  private final LocalTarget target =
      new LocalTarget(KEY, loop, store, eras, EventLog.start(InstantSource.system(), "node"), gate);

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private void start() throws Exception {
    loop.submit(target::readStored).sync();
  }

  private void reportReady() throws Exception {
    assertThat(isAcknowledged(report(BORN, 1, true)), is(true));
  }

  private CompletionStage<Void> report(long born, long sequence, boolean ready) {
    return target.onReport(
        new TargetReport(
            INSTANCE, born, sequence, "bookings", "v1", 2, ready, Optional.of(Duration.ZERO)));
  }

  private boolean isDeregistrationAcknowledged() throws Exception {
    return isAcknowledged(target.onDeregistration(INSTANCE, BORN));
  }

  private static boolean isAcknowledged(CompletionStage<Void> report) throws Exception {
    try {
      report.toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
      return true;
    } catch (ExecutionException notAcknowledged) {
      return false;
    }
  }

  private void confirm(long token, String peer) throws Exception {
    loop.submit(() -> target.onExitConfirmed(token, peer)).sync();
  }

  @Test
  void isNotToldThatItMayLeaveWhileOnlyItsNodeKnows() throws Exception {
    start();
    reportReady();

    assertThat(isDeregistrationAcknowledged(), is(false));
    assertThat(isDeregistrationAcknowledged(), is(false));
    assertThat(gate.open, is(false));
  }

  @Test
  void isNotToldThatItMayLeaveHoweverManyNodesRememberIt() throws Exception {
    start();
    reportReady();
    assertThat(isDeregistrationAcknowledged(), is(false));

    confirm(ExitToken.known(EXIT), "a");
    confirm(ExitToken.known(EXIT), "b");
    confirm(ExitToken.known(EXIT), "c");

    assertThat(isDeregistrationAcknowledged(), is(false));
  }

  @Test
  void isNotToldThatItMayLeaveOnceTheExitOfAnotherStartIsStored() throws Exception {
    start();
    reportReady();
    assertThat(isDeregistrationAcknowledged(), is(false));

    confirm(ExitToken.stored(new TargetExit(INSTANCE, LATER_BORN)), "a");

    assertThat(isDeregistrationAcknowledged(), is(false));
  }

  @Test
  void isNotToldThatItMayLeaveByTheAnswerToLateReport() throws Exception {
    start();
    reportReady();
    assertThat(isAcknowledged(report(BORN, 3, false)), is(false));

    assertThat(isAcknowledged(report(BORN, 2, false)), is(false));
  }

  @Test
  void isNotToldThatItMayLeaveByTheNextStart() throws Exception {
    start();
    reportReady();
    CompletionStage<Void> deregistration = target.onDeregistration(INSTANCE, BORN);
    GateFixture.await(() -> gate.asksOthers);

    assertThat(isAcknowledged(report(LATER_BORN, 1, true)), is(true));

    assertThat(isAcknowledged(deregistration), is(false));
    assertThat(gate.open, is(true));
    assertThat(gate.asksOthers, is(false));
  }

  @Test
  void mayLeaveOnceAnotherNodeHasStoredIt() throws Exception {
    start();
    reportReady();
    assertThat(isDeregistrationAcknowledged(), is(false));

    confirm(ExitToken.stored(EXIT), "a");

    assertThat(isDeregistrationAcknowledged(), is(true));
    assertThat(gate.asksOthers, is(false));
  }

  @Test
  void getsNoCallsIfAnotherNodeRemembersThatItLeft() throws Exception {
    start();
    reportReady();
    assertThat(gate.open, is(true));

    confirm(ExitToken.known(EXIT), "a");

    assertThat(gate.open, is(false));
  }

  @Test
  void getsNoCallsOnceItsStoredExitCanBeRead() throws Exception {
    start();
    reportReady();
    assertThat(gate.open, is(true));

    store.items = Optional.of(List.of(STORED_EXIT));

    GateFixture.await(() -> !gate.open);
  }

  @Test
  void doesNotReplaceAnExitThatItsNodeHasNotReadYet() throws Exception {
    start();
    reportReady();
    assertThat(gate.open, is(true));

    store.items = Optional.of(List.of(STORED_EXIT));
    GateFixture.await(() -> !gate.open);

    assertThat(store.written, not(hasItem(TargetPhase.READY)));
  }

  @Test
  void isStoredOnceTheStoreIsReadIfItHoldsNoExit() throws Exception {
    start();
    reportReady();

    store.items = Optional.of(List.of());

    GateFixture.await(() -> store.written.contains(TargetPhase.READY));
    assertThat(gate.open, is(true));
  }

  @Nested
  class AfterReturnOfTheStoreFromAnOlderCopy {

    @BeforeEach
    void storeTargetInFirstEra() throws Exception {
      store.items = Optional.of(List.of());
      store.era = OptionalLong.of(1);
      eras.listen(target::onStoreReturned);
      loop.submit(() -> eras.onStoreEra(1)).sync();
      start();
      reportReady();
      GateFixture.await(() -> store.written.contains(TargetPhase.READY));
    }

    private void loseAll() throws InterruptedException {
      store.written.clear();
      store.era = OptionalLong.of(2);
      loop.submit(() -> eras.onStoreEra(2)).sync();
    }

    /** Guards against a target without calls after a restart of its node. */
    @Test
    void isStoredAgain() throws Exception {
      loseAll();

      GateFixture.await(() -> store.written.equals(List.of(TargetPhase.READY)));
    }

    /** Guards against calls to a target that was told that it may leave. */
    @Test
    void hasItsExitStoredAgain() throws Exception {
      assertThat(isDeregistrationAcknowledged(), is(true));

      loseAll();

      GateFixture.await(() -> store.written.equals(List.of(TargetPhase.LEAVING)));
      assertThat(gate.open, is(false));
    }

    /** Guards against the loss of an exit that only the store told to a restarted node. */
    @Test
    void hasItsExitStoredAgainByNodeThatHasReadIt() throws Exception {
      store.items = Optional.of(List.of(STORED_EXIT));
      loop.submit(target::readStored).sync();
      GateFixture.await(() -> !gate.open);

      loseAll();

      GateFixture.await(() -> store.written.equals(List.of(TargetPhase.LEAVING)));
    }

    /** Guards against an exit that no node stores because its own is turned away meanwhile. */
    @Test
    void hasItsExitStoredByOthersIfItsNodeIsTurnedAway() throws Exception {
      assertThat(isDeregistrationAcknowledged(), is(true));
      store.era = OptionalLong.empty();

      loop.submit(() -> eras.onPeerEra(2, "other")).sync();

      GateFixture.await(() -> gate.asksOthers);
      assertThat(isDeregistrationAcknowledged(), is(false));
    }

    /** Guards against an acknowledgement by a response from before the return. */
    @Test
    void isNotToldThatItMayLeaveByAnswerOfAnEarlierEra() throws Exception {
      loop.submit(() -> eras.onPeerEra(2, "other")).sync();

      assertThat(isDeregistrationAcknowledged(), is(false));
      store.era = OptionalLong.of(2);
      GateFixture.await(() -> !gate.asksOthers);
      assertThat(isDeregistrationAcknowledged(), is(true));
    }
  }

  /**
   * Fails reads until it has items and writes until it has an era, and records the phases in its
   * writes.
   */
  private static final class FailingStore implements KeyedStore {

    private final List<TargetPhase> written = new CopyOnWriteArrayList<>();
    private volatile Optional<List<Item>> items = Optional.empty();
    private volatile OptionalLong era = OptionalLong.empty();

    @Override
    public CompletionStage<Page> newest(Stream stream) {
      return items
          .<CompletionStage<Page>>map(
              read ->
                  CompletableFuture.completedFuture(new Page(read, read.size(), read.size(), era)))
          .orElseGet(FailingStore::failed);
    }

    @Override
    public CompletionStage<Page> follow(Stream stream, long from, Duration maxWait) {
      return failed();
    }

    @Override
    public CompletionStage<Appended> append(
        Stream stream, String key, byte[] value, OptionalLong expectedEnd) {
      try {
        written.add(TargetStatus.parseFrom(value).getPhase());
      } catch (InvalidProtocolBufferException unreadable) {
        throw new AssertionError(unreadable);
      }
      return era.isPresent()
          ? CompletableFuture.completedFuture(new Appended(written.size(), era))
          : failed();
    }

    private static <T> CompletionStage<T> failed() {
      return CompletableFuture.failedFuture(new IllegalStateException("store is away"));
    }
  }

  /** Records the state of the gate. */
  private static final class RecordingGate implements LocalTarget.GateControl {

    private volatile boolean open;
    private volatile boolean asksOthers;

    @Override
    public CompletableFuture<Void> open(TargetReport report) {
      open = true;
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> targetReachable(TargetReport report) {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> close() {
      open = false;
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public void announceExitWrites(boolean possible) {
      asksOthers = !possible;
    }
  }
}
