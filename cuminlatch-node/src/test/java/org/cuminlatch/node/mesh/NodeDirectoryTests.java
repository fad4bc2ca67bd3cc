package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.node.mesh.KeyedStore.Page;
import org.cuminlatch.wire.proto.call.Hello;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The directory of nodes")
class NodeDirectoryTests {

  private static final String ONE = "127.0.0.1:7001";
  private static final String OTHER = "127.0.0.1:7002";

  private final EventLoop loop = new DefaultEventLoop();
  private final MemoryStore store = new MemoryStore();

  @AfterEach
  void stop() {
    loop.shutdownGracefully();
  }

  private final class Starting {

    private final Set<String> known = new HashSet<>();
    private final Set<String> linked = new HashSet<>();
    private final NodeDirectory directory;

    Starting(String address) {
      directory =
          new NodeDirectory(
              Address.parse(address),
              "node-" + address,
              loop,
              store,
              EventLog.start(InstantSource.system(), "node"),
              linked::contains,
              others -> others.forEach(other -> known.add(other.toString())));
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
                page.items().forEach(directory::onRecord);
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
    loop.submit(() -> {}).sync();

    assertThat(one.known.contains(OTHER) || other.known.contains(ONE), is(true));
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
    loop.submit(() -> {}).sync();
    int calls = store.calls;

    new Starting(ONE).read(store.page());
    loop.submit(() -> {}).sync();

    assertThat(store.calls, is(calls));
  }

  /** Keeps records in memory and answers at once. */
  private static final class MemoryStore implements KeyedStore {

    private final List<Item> items = new ArrayList<>();
    private int calls;

    Page page() {
      return new Page(items, items.size(), items.size());
    }

    @Override
    public CompletionStage<Page> newest(Stream stream) {
      calls++;
      return CompletableFuture.completedFuture(page());
    }

    @Override
    public CompletionStage<Page> follow(Stream stream, long from, Duration maxWait) {
      throw new UnsupportedOperationException("a directory does not follow the stream itself");
    }

    @Override
    public CompletionStage<Long> append(
        Stream stream, String key, byte[] value, OptionalLong expectedEnd) {
      calls++;
      items.add(new Item(key, value, items.size()));
      return CompletableFuture.completedFuture((long) items.size());
    }
  }
}
