package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.store.StoreEras;
import org.cuminlatch.core.store.StoredMark;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.node.mesh.KeyedStore.Page;
import org.cuminlatch.node.mesh.KeyedStore.Stream;
import org.cuminlatch.wire.proto.call.Hello;

/**
 * Addresses of all nodes, from the store and from nodes that open a connection; used on the control
 * loop.
 *
 * <p>A node that is not in the store yet writes its address and then reads the others' again. Of
 * two nodes that start at the same time, the one that writes later therefore finds the other, which
 * learns of it by the connection. Only the readers of the zones follow the stream. A store that has
 * returned from an older copy may have lost the address, which is then written as at the start. A
 * node that stops as planned removes its address.
 */
final class NodeDirectory {

  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  /**
   * Time in which the status of a node that has opened a connection may arrive over a connection of
   * this node, which shows that both are linked already.
   */
  static final Duration HELLO_DELAY = Duration.ofMillis(200);

  private final Address ownAddress;
  private final String node;
  private final EventLoop control;
  private final KeyedStore store;
  private final StoreEraControl eras;
  private final EventLog log;
  private final Predicate<String> linkedNodes;
  private final Consumer<Set<Address>> listener;
  private final Set<Address> others = new HashSet<>();
  private boolean registered;
  private boolean leaving;

  /** When the store was first known to hold the own address; empty while it is being written. */
  private Optional<StoredMark> storedMark = Optional.empty();

  /**
   * Creates an empty directory.
   *
   * @param ownAddress address at which this node accepts connections of other nodes
   * @param node name of this node
   * @param linkedNodes returns whether this node has an open connection to the node of a name
   * @param listener receives the addresses of all other nodes after each read and each change
   */
  NodeDirectory(
      Address ownAddress,
      String node,
      EventLoop control,
      KeyedStore store,
      StoreEraControl eras,
      EventLog log,
      Predicate<String> linkedNodes,
      Consumer<Set<Address>> listener) {
    this.ownAddress = ownAddress;
    this.node = node;
    this.control = control;
    this.store = store;
    this.eras = eras;
    this.log = log;
    this.linkedNodes = linkedNodes;
    this.listener = listener;
  }

  void onRecord(Item item, long era) {
    Address address = parse(item.key());
    boolean present = item.value().length > 0;
    if (address.equals(ownAddress)) {
      registered = present;
      if (storedMark.isEmpty() || storedMark.get().era() < era) {
        storedMark = Optional.of(eras.mark(OptionalLong.of(era)));
      }
    } else if (present) {
      others.add(address);
    } else {
      others.remove(address);
    }
  }

  void onPageRead() {
    if (!registered && !leaving) {
      registered = true;
      register();
    }
    listener.accept(Set.copyOf(others));
  }

  /** Writes the own address again if the store may have lost it. */
  void onStoreReturned() {
    Optional<StoredMark> lost =
        storedMark.filter(mark -> eras.mayBeLost(mark, StoreEras.USUAL_COPY_AGE));
    if (lost.isPresent()) {
      eras.spread(
          () -> {
            if (storedMark.equals(lost)) {
              eras.onRewrite(Stream.NODES, ownAddress.toString());
              register();
            }
          });
    }
  }

  /**
   * Adds a node that has opened a connection, unless this node is connected to it already, possibly
   * under another address. The store may not have delivered it yet.
   */
  void onHello(Hello hello) {
    Address address;
    try {
      address = parse(hello.getAddress());
    } catch (IllegalArgumentException unusable) {
      log.event("hello-unusable").with("reason", String.valueOf(unusable)).write();
      return;
    }
    if (!address.equals(ownAddress) && !others.contains(address)) {
      control.schedule(
          () -> addUnlessLinked(address, hello.getNode()),
          HELLO_DELAY.toMillis(),
          TimeUnit.MILLISECONDS);
    }
  }

  private void addUnlessLinked(Address address, String peer) {
    if (!linkedNodes.test(peer) && others.add(address)) {
      log.event("node-connected").with("peer", peer).with("address", address.toString()).write();
      listener.accept(Set.copyOf(others));
    }
  }

  private static Address parse(String text) {
    Address address = Address.parse(text);
    if (!NetUtil.isValidIpV4Address(address.host())
        && !NetUtil.isValidIpV6Address(address.host())) {
      // a name would have to be looked up on the traffic loop
      throw new IllegalArgumentException("address of a node must have a numeric host");
    }
    return address;
  }

  /** Stores the node's address, which stays the same across restarts. */
  private void register() {
    if (leaving) {
      return;
    }
    storedMark = Optional.empty();
    store
        .append(
            Stream.NODES,
            ownAddress.toString(),
            node.getBytes(StandardCharsets.UTF_8),
            OptionalLong.empty())
        .whenCompleteAsync(
            (appended, error) -> {
              if (error != null || eras.isOutdated(appended.era())) {
                retry(this::register);
              } else {
                storedMark = Optional.of(eras.mark(appended.era()));
                readOthers();
              }
            },
            control);
  }

  /**
   * Removes the own address from the store at the end of a planned stop, so that a node that does
   * not come back is not counted as a part of the mesh.
   *
   * @return completes when the store has answered
   */
  CompletionStage<Void> unregister() {
    leaving = true;
    storedMark = Optional.empty();
    return store
        .append(Stream.NODES, ownAddress.toString(), new byte[0], OptionalLong.empty())
        .handle(
            (appended, error) -> {
              if (error != null) {
                log.event("address-not-removed").with("reason", String.valueOf(error)).write();
              }
              return null;
            });
  }

  private void readOthers() {
    store
        .newest(Stream.NODES)
        .whenCompleteAsync(
            (page, error) -> {
              if (error == null) {
                onOthersRead(page);
              } else {
                retry(this::readOthers);
              }
            },
            control);
  }

  private void onOthersRead(Page page) {
    for (Item item : page.items()) {
      try {
        onRecord(item, page.eraOrNone());
      } catch (IllegalArgumentException unusable) {
        log.event("record-unusable")
            .with("stream", Stream.NODES.name())
            .with("key", item.key())
            .with("reason", String.valueOf(unusable))
            .write();
      }
    }
    listener.accept(Set.copyOf(others));
  }

  private void retry(Runnable call) {
    control.schedule(call, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }
}
