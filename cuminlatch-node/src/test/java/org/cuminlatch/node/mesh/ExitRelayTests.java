package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.target.TargetExit;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.wire.proto.call.TargetPhase;
import org.cuminlatch.wire.proto.call.TargetStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The exit of a target whose node is turned away by the store")
class ExitRelayTests {

  private static final Address LEAVER = Address.parse("127.0.0.1:7000");
  private static final TargetExit EXIT = new TargetExit("i-1", 1000);
  private static final long RETRY_MILLIS = 2000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final AppendingStore store = new AppendingStore();
  private final List<TargetExit> confirmed = new CopyOnWriteArrayList<>();
  private final StoreEraControl eras = EraFixture.create(loop);
  private final ExitRelay relay =
      new ExitRelay(
          "a",
          loop,
          store,
          eras,
          new SplittableRandom(1),
          EventLog.start(InstantSource.system(), "a"),
          (node, exit) -> confirmed.add(exit));

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private static TargetStatus status(TargetPhase phase, boolean storeLost) {
    return TargetStatus.newBuilder()
        .setNode("leaver")
        .setPhase(phase)
        .setInstance(EXIT.instance())
        .setBornMillis(EXIT.bornMillis())
        .setStoreLost(storeLost)
        .build();
  }

  private void receive(TargetStatus status, boolean canWrite) throws InterruptedException {
    loop.submit(() -> relay.onStatus(status, LEAVER)).sync();
    writeWaiting(canWrite, List.of());
  }

  private void writeWaiting(boolean canWrite, List<String> otherWriters)
      throws InterruptedException {
    loop.submit(() -> relay.writeWaiting(canWrite, otherWriters)).sync();
  }

  @Test
  void isWrittenAndConfirmed() throws InterruptedException {
    receive(status(TargetPhase.LEAVING, true), true);

    GateFixture.await(() -> confirmed.equals(List.of(EXIT)));
    assertThat(store.keys, contains(LEAVER.toString()));
  }

  @Test
  void isWrittenOnceAndConfirmedAgain() throws InterruptedException {
    receive(status(TargetPhase.LEAVING, true), true);
    GateFixture.await(() -> confirmed.size() == 1);
    receive(status(TargetPhase.LEAVING, true), true);

    GateFixture.await(() -> confirmed.size() == 2);
    assertThat(store.keys.size(), is(1));
  }

  @Test
  void isWrittenOnceTheStoreCanBeReached() throws InterruptedException {
    store.failing = true;
    receive(status(TargetPhase.LEAVING, true), true);
    GateFixture.await(() -> store.keys.size() > 1);

    store.failing = false;

    GateFixture.await(() -> confirmed.equals(List.of(EXIT)));
  }

  @Test
  void isNotWrittenByNodeThatHasLostTheStoreItself() throws InterruptedException {
    receive(status(TargetPhase.LEAVING, true), false);

    assertThat(store.keys, empty());
  }

  @Test
  void isWrittenByNodeThatRegainsTheStore() throws InterruptedException {
    receive(status(TargetPhase.LEAVING, true), false);

    writeWaiting(true, List.of());

    GateFixture.await(() -> confirmed.equals(List.of(EXIT)));
    assertThat(store.keys, contains(LEAVER.toString()));
  }

  @Test
  void isWrittenOnceTheSelectedWritersHaveLostTheStore() throws InterruptedException {
    List<String> others = IntStream.range(0, 20).mapToObj(number -> "b" + number).toList();
    loop.submit(() -> relay.onStatus(status(TargetPhase.LEAVING, true), LEAVER)).sync();
    writeWaiting(true, others);
    assertThat(store.keys, empty());

    writeWaiting(true, List.of());
    writeWaiting(true, List.of());

    GateFixture.await(() -> confirmed.equals(List.of(EXIT)));
    assertThat(store.keys.size(), is(1));
  }

  @Test
  void isNotWrittenOnceItsNodeIsLost() throws InterruptedException {
    receive(status(TargetPhase.LEAVING, true), false);
    loop.submit(() -> relay.onStatusLost("leaver")).sync();

    writeWaiting(true, List.of());

    assertThat(store.keys, empty());
  }

  @Test
  void isNotWrittenIfItsNodeCanWrite() throws InterruptedException {
    receive(status(TargetPhase.LEAVING, false), true);
    receive(status(TargetPhase.READY, true), true);

    assertThat(store.keys, empty());
  }

  @Test
  void isNoLongerWrittenOnceItsNodeCanWrite() throws InterruptedException {
    store.failing = true;
    receive(status(TargetPhase.LEAVING, true), true);
    receive(status(TargetPhase.LEAVING, false), true);
    int writes = store.keys.size();

    Thread.sleep(RETRY_MILLIS);

    assertThat(store.keys.size(), is(writes));
  }

  /** Guards against an exit that is confirmed although the store has lost it. */
  @Test
  void isWrittenAgainIfTheStoreHasLostItAndItsNodeIsStillTurnedAway() throws InterruptedException {
    returnAfterWrite(false);

    writeWaiting(true, List.of());

    GateFixture.await(() -> store.keys.size() == 2 && confirmed.size() == 2);
  }

  /** Guards against an exit that this node does not write as others precede it meanwhile. */
  @Test
  void isWrittenAgainByTheNodeThatWroteIt() throws InterruptedException {
    returnAfterWrite(false);

    writeWaiting(true, IntStream.range(0, 20).mapToObj(number -> "b" + number).toList());

    GateFixture.await(() -> store.keys.size() == 2);
  }

  @Test
  void isLeftToItsNodeIfThatCanWriteAfterReturnOfTheStore() throws InterruptedException {
    returnAfterWrite(true);

    writeWaiting(true, List.of());

    assertThat(store.keys.size(), is(1));
  }

  private void returnAfterWrite(boolean writesItself) throws InterruptedException {
    store.era = 1;
    eras.listen(() -> relay.onStoreReturned(leaver -> writesItself));
    loop.submit(() -> eras.onStoreEra(1)).sync();
    receive(status(TargetPhase.LEAVING, true), true);
    GateFixture.await(() -> confirmed.size() == 1);
    store.era = 2;
    loop.submit(() -> eras.onStoreEra(2)).sync();
  }

  /** Records the keys of all writes, which fail on request. */
  private static final class AppendingStore implements KeyedStore {

    private final List<String> keys = new CopyOnWriteArrayList<>();
    private volatile boolean failing;
    private volatile long era;

    @Override
    public CompletionStage<Page> newest(Stream stream) {
      return CompletableFuture.completedFuture(new Page(List.of(), 0, 0, OptionalLong.empty()));
    }

    @Override
    public CompletionStage<Page> follow(Stream stream, long from, Duration maxWait) {
      return CompletableFuture.completedFuture(new Page(List.of(), 0, 0, OptionalLong.empty()));
    }

    @Override
    public CompletionStage<Appended> append(
        Stream stream, String key, byte[] value, OptionalLong expectedEnd) {
      keys.add(key);
      return failing
          ? CompletableFuture.failedFuture(new IllegalStateException("store is away"))
          : CompletableFuture.completedFuture(new Appended(1, OptionalLong.of(era)));
    }
  }
}
