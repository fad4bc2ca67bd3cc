package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.node.mesh.KeyedStore.Page;
import org.cuminlatch.wire.proto.call.Hello;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The directory of nodes")
class NodeDirectoryTests {

  private static final String ONE = "127.0.0.1:7001";
  private static final String OTHER = "127.0.0.1:7002";

  /** The write of the address and the read of the others. */
  private static final int CALLS_OF_A_START = 2;

  private final EventLoop loop = new DefaultEventLoop();
  private final MemoryStore store = new MemoryStore();

  @AfterEach
  void stop() {
    loop.shutdownGracefully();
  }

  private final class Starting {

    private final Set<String> known = ConcurrentHashMap.newKeySet();
    private final Set<String> linked = new HashSet<>();
    private final StoreEraControl eras = EraFixture.create(loop);
    private final NodeDirectory directory;

    Starting(String address) {
      directory =
          new NodeDirectory(
              Address.parse(address),
              "node-" + address,
              loop,
              store,
              eras,
              EventLog.start(InstantSource.system(), "node"),
              linked::contains,
              others -> others.forEach(other -> known.add(other.toString())));
      eras.listen(directory::onStoreReturned);
    }

    void learnOfEra(long era) throws InterruptedException {
      loop.submit(() -> eras.onStoreEra(era)).sync();
    }

    void hear(String address, String node) throws InterruptedException {
      Hello hello = Hello.newBuilder().setAddress(address).setNode(node).build();
      loop.submit(() -> directory.onHello(hello)).sync();
      long afterDelay = NodeDirectory.HELLO_DELAY.toMillis() + 1;
      loop.schedule(() -> {}, afterDelay, TimeUnit.MILLISECONDS).sync();
    }

    void read(Page page) throws InterruptedException {
      loop.submit(
              () -> {
                eras.onStoreEra(page.eraOrNone());
                page.items().forEach(item -> directory.onRecord(item, page.eraOrNone()));
                directory.onPageRead();
              })
          .sync();
    }
  }

  /**
   * Guards against two nodes that never learn of each other because both had read the store before
   * either wrote its address.
   */
  @Test
  void tellsOneOfTwoNodesThatStartTogetherOfTheOther() throws InterruptedException {
    Starting one = new Starting(ONE);
    Starting other = new Starting(OTHER);
    Page before = store.page();

    one.read(before);
    other.read(before);

    GateFixture.await(() -> one.known.contains(OTHER) || other.known.contains(ONE));
  }

  /** Guards against a node that stays unknown because its record is read late or never. */
  @Test
  void learnsOfNodeByItsConnection() throws InterruptedException {
    Starting one = new Starting(ONE);
    one.read(store.page());

    one.hear(OTHER, "other");
    one.hear("no address", "odd");
    one.hear("host.example:7002", "named");

    assertThat(one.known, is(Set.of(OTHER)));
  }

  /**
   * Guards against two connections to a node that announces another address than its stored one.
   */
  @Test
  void ignoresConnectionOfNodeToWhichItIsLinked() throws InterruptedException {
    Starting one = new Starting(ONE);
    one.read(store.page());

    loop.schedule(() -> one.linked.add("other"), 1, TimeUnit.MILLISECONDS);
    one.hear(OTHER, "other");

    assertThat(one.known, is(Set.of()));
  }

  /** Guards against calls to the store at each restart, which all nodes may do at once. */
  @Test
  void writesItsAddressOnlyOnce() throws InterruptedException {
    new Starting(ONE).read(store.page());
    GateFixture.await(() -> store.calls.get() == CALLS_OF_A_START);

    new Starting(ONE).read(store.page());
    loop.submit(() -> {}).sync();

    assertThat(store.calls.get(), is(CALLS_OF_A_START));
  }

  /** Guards against addresses of nodes that are gone, which count as a part of the mesh. */
  @Test
  void removesItsAddressWhenItStops() throws InterruptedException {
    Starting one = new Starting(ONE);
    one.read(store.page());
    GateFixture.await(() -> store.holds(ONE));

    loop.submit(one.directory::unregister).sync();
    one.read(store.page());
    loop.submit(() -> {}).sync();

    assertThat(store.holds(ONE), is(false));
  }

  @Nested
  class AfterReturnOfTheStoreFromAnOlderCopy {

    @BeforeEach
    void nameAnEra() {
      store.era = OptionalLong.of(1);
    }

    private void loseAll() {
      store.items.clear();
      store.era = OptionalLong.of(2);
    }

    /** Guards against a node that new nodes don't find, as the store has lost its address. */
    @Test
    void writesItsAddressAgainAndReadsTheOthers() throws InterruptedException {
      Starting one = new Starting(ONE);
      one.read(store.page());
      GateFixture.await(() -> store.holds(ONE));
      loseAll();
      store.items.add(new Item(OTHER, new byte[] {1}, 0));

      one.learnOfEra(2);

      GateFixture.await(() -> store.holds(ONE) && one.known.contains(OTHER));
    }

    /** Guards against a loss between a node's write, its restart and the return of the store. */
    @Test
    void writesAnAddressAgainThatItHasRead() throws InterruptedException {
      store.items.add(new Item(ONE, new byte[] {1}, 0));
      Starting one = new Starting(ONE);
      one.read(store.page());
      loseAll();

      one.learnOfEra(2);

      GateFixture.await(() -> store.holds(ONE));
    }

    /** Guards against an address that is lost because its write was acknowledged too late. */
    @Test
    void writesItsAddressAgainIfTheAnswerIsOfAnEarlierEra() throws InterruptedException {
      Starting one = new Starting(ONE);
      one.learnOfEra(2);

      one.read(new Page(List.of(), 0, 0, OptionalLong.of(2)));
      GateFixture.await(() -> store.items.size() == 1);
      loseAll();

      GateFixture.await(() -> store.holds(ONE));
    }

    /** Guards against calls of all nodes that read the address again before they write it. */
    @Test
    void leavesAnAddressThatItFindsThere() throws InterruptedException {
      Starting one = new Starting(ONE);
      one.read(store.page());
      GateFixture.await(() -> store.holds(ONE));
      store.era = OptionalLong.of(2);

      one.learnOfEra(2);
      one.read(store.page());
      Thread.sleep(EraFixture.SPREAD_MILLIS);

      assertThat(store.items.size(), is(1));
    }
  }

  /** Keeps records in memory and answers at once. */
  private static final class MemoryStore implements KeyedStore {

    private final List<Item> items = new CopyOnWriteArrayList<>();
    private volatile OptionalLong era = OptionalLong.empty();
    private final AtomicInteger calls = new AtomicInteger();

    Page page() {
      return new Page(items, items.size(), items.size(), era);
    }

    boolean holds(String address) {
      return items.stream()
          .filter(item -> item.key().equals(address))
          .reduce((earlier, later) -> later)
          .filter(item -> item.value().length > 0)
          .isPresent();
    }

    @Override
    public CompletionStage<Page> newest(Stream stream) {
      calls.incrementAndGet();
      return CompletableFuture.completedFuture(page());
    }

    @Override
    public CompletionStage<Page> follow(Stream stream, long from, Duration maxWait) {
      throw new UnsupportedOperationException("a directory does not follow the stream itself");
    }

    @Override
    public CompletionStage<Appended> append(
        Stream stream, String key, byte[] value, OptionalLong expectedEnd) {
      calls.incrementAndGet();
      items.add(new Item(key, value, items.size()));
      return CompletableFuture.completedFuture(new Appended(items.size(), era));
    }
  }
}
