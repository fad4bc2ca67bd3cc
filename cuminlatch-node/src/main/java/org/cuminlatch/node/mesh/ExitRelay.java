package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.store.StoreEras;
import org.cuminlatch.core.store.StoredMark;
import org.cuminlatch.core.target.ExitWriterSelection;
import org.cuminlatch.core.target.TargetExit;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Stream;
import org.cuminlatch.wire.proto.call.TargetPhase;
import org.cuminlatch.wire.proto.call.TargetStatus;

/**
 * Writes the exits of other nodes' targets to the store for nodes that the store turns away; used
 * on the control loop.
 *
 * <p>A node whose target leaves says in its status that it has lost the store until the store holds
 * the exit. A write that is executed late may replace the record of a newer start, which then takes
 * requests only once it has reported to its restarted node. An exit that a store which has returned
 * from an older copy may have lost is written again, unless the node of its target does that.
 */
final class ExitRelay {

  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(150);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1600);

  /** Time after which a write that fails is no longer retried. */
  private static final Duration RETRY_PERIOD = Duration.ofSeconds(30);

  /** Maximum number of written exits that are remembered. */
  private static final int MAX_WRITTEN = 256;

  private final String node;
  private final EventLoop control;
  private final KeyedStore store;
  private final StoreEraControl eras;
  private final RandomGenerator random;
  private final EventLog log;
  private final StoredListener listener;

  /** Exits that wait to be stored, by the name of the target's node. */
  private final Map<String, WaitingExit> waiting = new HashMap<>();

  private final Map<TargetExit, WrittenExit> writtenExits =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetExit, WrittenExit> eldest) {
          return size() > MAX_WRITTEN;
        }
      };

  ExitRelay(
      String node,
      EventLoop control,
      KeyedStore store,
      StoreEraControl eras,
      RandomGenerator random,
      EventLog log,
      StoredListener listener) {
    this.node = node;
    this.control = control;
    this.store = store;
    this.eras = eras;
    this.random = random;
    this.log = log;
    this.listener = listener;
  }

  /** Listens for exits that have been written. */
  @FunctionalInterface
  interface StoredListener {

    /** Called once the store holds the exit of a node's target. */
    void onStored(Address node, TargetExit exit);
  }

  /** An exit that its node can't store. */
  private static final class WaitingExit {

    private final TargetExit exit;
    private final Address address;

    /** Whether this node has written it before, and so writes it also if others precede it. */
    private final boolean writtenBefore;

    /** Whether this node writes it or has given up. */
    private boolean taken;

    WaitingExit(TargetExit exit, Address address, boolean writtenBefore) {
      this.exit = exit;
      this.address = address;
      this.writtenBefore = writtenBefore;
    }
  }

  /**
   * An exit that this node has written.
   *
   * @param leaver name of the target's node
   * @param address address of that node
   * @param mark when and in which era it was written
   */
  private record WrittenExit(String leaver, Address address, StoredMark mark) {}

  /**
   * Prepares that exits which the store may have lost are written again by the next calls of {@link
   * #writeWaiting}, and no longer confirms them.
   *
   * @param writesItself returns whether the node of a name is connected and can reach the store
   */
  void onStoreReturned(Predicate<String> writesItself) {
    Map<TargetExit, WrittenExit> lost = new HashMap<>(writtenExits);
    lost.values().removeIf(exit -> !eras.mayBeLost(exit.mark(), StoreEras.MAX_COPY_AGE));
    lost.forEach(
        (exit, written) -> {
          writtenExits.remove(exit);
          if (!writesItself.test(written.leaver())) {
            eras.onRewrite(Stream.OWN_TARGETS, written.address().toString());
            waiting.putIfAbsent(written.leaver(), new WaitingExit(exit, written.address(), true));
          }
        });
  }

  /**
   * Handles the status of another node.
   *
   * @param status the status
   * @param address address of the node, under which its target is stored
   */
  void onStatus(TargetStatus status, Address address) {
    if (!needsWriter(status)) {
      waiting.remove(status.getNode());
      return;
    }
    TargetExit exit = exitOf(status);
    if (writtenExits.containsKey(exit)) {
      listener.onStored(address, exit);
      return;
    }
    WaitingExit known = waiting.get(status.getNode());
    if (known == null || !known.exit.equals(exit)) {
      waiting.put(status.getNode(), new WaitingExit(exit, address, false));
    }
  }

  /** Handles the loss of the connection to a node; writes that have begun go on. */
  void onStatusLost(String otherNode) {
    waiting.computeIfPresent(otherNode, (name, exit) -> exit.taken ? exit : null);
  }

  /**
   * Begins to write the waiting exits that this node is selected for; called when the nodes that
   * can write have changed.
   *
   * @param canWrite whether this node can write; if the store is down for all, none should try
   * @param otherWriters names of the other nodes that can write
   */
  void writeWaiting(boolean canWrite, Collection<String> otherWriters) {
    if (!canWrite) {
      return;
    }
    waiting.forEach(
        (leaver, exit) -> {
          boolean selected =
              exit.writtenBefore || ExitWriterSelection.isWriter(exit.exit, node, otherWriters);
          if (!exit.taken && selected) {
            exit.taken = true;
            write(leaver, exit, 0, System.nanoTime());
          }
        });
  }

  private static boolean needsWriter(TargetStatus status) {
    return status.getPhase() == TargetPhase.LEAVING
        && status.getStoreLost()
        && !status.getInstance().isEmpty();
  }

  private static TargetExit exitOf(TargetStatus status) {
    return new TargetExit(status.getInstance(), status.getBornMillis());
  }

  private void write(String leaver, WaitingExit waitingExit, int failures, long firstNanos) {
    boolean superseded = waiting.get(leaver) != waitingExit;
    if (superseded || System.nanoTime() - firstNanos > RETRY_PERIOD.toNanos()) {
      return;
    }
    TargetExit exit = waitingExit.exit;
    store
        .append(
            Stream.OWN_TARGETS,
            waitingExit.address.toString(),
            LocalTarget.exitRecord(exit).toByteArray(),
            OptionalLong.empty())
        .whenCompleteAsync(
            (appended, error) -> {
              log.event("exit-relayed")
                  .with("peer", leaver)
                  .with("target", exit.instance())
                  .with("outcome", error == null ? "stored" : String.valueOf(error))
                  .write();
              if (error == null && !eras.isOutdated(appended.era())) {
                waiting.remove(leaver, waitingExit);
                writtenExits.put(
                    exit, new WrittenExit(leaver, waitingExit.address, eras.mark(appended.era())));
                listener.onStored(waitingExit.address, exit);
              } else {
                retry(leaver, waitingExit, failures + 1, firstNanos);
              }
            },
            control);
  }

  private void retry(String leaver, WaitingExit exit, int failures, long firstNanos) {
    Duration delay = RetryDelay.after(failures, MIN_RETRY_DELAY, MAX_RETRY_DELAY, random);
    control.schedule(
        () -> write(leaver, exit, failures, firstNanos), delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
