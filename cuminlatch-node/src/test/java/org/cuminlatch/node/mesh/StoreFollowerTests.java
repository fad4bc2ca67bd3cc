package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.node.mesh.KeyedStore.Page;
import org.cuminlatch.node.mesh.KeyedStore.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A reader of a stream when the store returns from an older copy")
class StoreFollowerTests {

  private static final Stream STREAM = Stream.OPERATOR;
  private static final long LONG_ENOUGH_FOR_A_READ_MILLIS = 600;

  private final EventLoop loop = new DefaultEventLoop();
  private final ReturningStore store = new ReturningStore();
  private final List<String> delivered = new CopyOnWriteArrayList<>();
  private final List<Long> newestReads = new CopyOnWriteArrayList<>();
  private volatile boolean reader = true;
  private final StoreFollower follower =
      new StoreFollower(
          loop,
          store,
          new StoreFollower.Subscription(
              STREAM,
              Duration.ofSeconds(60),
              Duration.ofMillis(10),
              Duration.ofMillis(10),
              false,
              Duration.ofMillis(100),
              () -> reader),
          new SplittableRandom(1),
          EventLog.start(InstantSource.system(), "node"),
          () -> Duration.ZERO,
          new Recorder());

  @BeforeEach
  void readTwoRecords() {
    store.put(STREAM, "one", new byte[] {1});
    store.put(STREAM, "two", new byte[] {2});
    loop.submit(follower::start).syncUninterruptibly();
    GateFixture.await(() -> store.calls().contains("follow OPERATOR 2"));
    assertThat(delivered, contains("one 1 @1", "two 2 @1"));
    delivered.clear();
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully();
  }

  /** Replaces the second record by another one at the same offset, and adds a third. */
  private void returnWithOtherRecords() {
    store.returnWithout(STREAM, 1);
    store.put(STREAM, "three", new byte[] {3});
    store.put(STREAM, "two", new byte[] {4});
  }

  /** Guards against a record that is missed because its offset was read in an earlier era. */
  @Test
  void readsTheNewestRecordsAnewAtAnswerOfNewEra() {
    returnWithOtherRecords();

    store.endWaitingRead(STREAM, 2);

    GateFixture.await(() -> delivered.equals(List.of("one 1 @2", "three 3 @2", "two 4 @2")));
    assertThat(newestReads, contains(1L, 2L));
  }

  /** Guards against a wait until the end of a long read. */
  @Test
  void readsThemAnewAtOnceIfItLearnsOfTheReturnElsewhere() {
    returnWithOtherRecords();

    loop.submit(follower::restart).syncUninterruptibly();
    store.endWaitingRead(STREAM, 0); // the answer to the read that was dropped

    GateFixture.await(() -> store.calls().contains("follow OPERATOR 3"));
    assertThat(delivered, contains("one 1 @2", "three 3 @2", "two 4 @2"));
  }

  @Test
  void readsThemAnewIfItsOffsetIsRefused() {
    returnWithOtherRecords();

    store.failWaitingRead(ErrorCode.LOG_TRUNCATED);

    GateFixture.await(() -> delivered.equals(List.of("one 1 @2", "three 3 @2", "two 4 @2")));
  }

  /** Guards against an extra read whose answer skips records of the new era. */
  @Test
  void readsThemAnewAtAnswerToAnExtraRead() {
    returnWithOtherRecords();

    loop.submit(follower::readNow).syncUninterruptibly();

    GateFixture.await(() -> delivered.equals(List.of("one 1 @2", "three 3 @2", "two 4 @2")));
  }

  /** Guards against reads of all nodes at once, of which one for each zone is enough. */
  @Test
  void leavesThemToTheReaderOfItsZone() throws InterruptedException {
    reader = false;
    store.endWaitingRead(STREAM, 2);
    Thread.sleep(LONG_ENOUGH_FOR_A_READ_MILLIS);
    final int calls = store.calls().size();

    loop.submit(follower::restart).syncUninterruptibly();
    Thread.sleep(LONG_ENOUGH_FOR_A_READ_MILLIS);

    assertThat(store.calls().size(), is(calls));
    reader = true;
    GateFixture.await(() -> store.calls().size() > calls);
    assertThat(store.calls(), hasItem("newest OPERATOR"));
  }

  /** Records what is delivered. */
  private final class Recorder implements StoreFollower.ItemListener {

    @Override
    public void onItem(Item item, long era) {
      delivered.add(item.key() + " " + item.value()[0] + " @" + era);
    }

    @Override
    public void onNewestRead(Page page) {
      newestReads.add(page.eraOrNone());
    }

    @Override
    public void onPageRead(Page page, Duration askedAt) {}

    @Override
    public void onStoreChange(boolean lost) {}
  }
}
