package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.membership.Address;
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
 * requests only once it has reported to its restarted node.
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
  private final RandomGenerator random;
  private final EventLog log;
  private final StoredListener listener;

  /** Exits that wait to be stored, by the name of the target's node. */
  private final Map<String, WaitingExit> waiting = new HashMap<>();

  private final Map<TargetExit, Boolean> writtenExits =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetExit, Boolean> eldest) {
          return size() > MAX_WRITTEN;
        }
      };

  ExitRelay(
      String node,
      EventLoop control,
      KeyedStore store,
      RandomGenerator random,
      EventLog log,
      StoredListener listener) {
    this.node = node;
    this.control = control;
    this.store = store;
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

    /** Whether this node writes it or has given up. */
    private boolean taken;

    WaitingExit(TargetExit exit, Address address) {
      this.exit = exit;
      this.address = address;
    }
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
      waiting.put(status.getNode(), new WaitingExit(exit, address));
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
          if (!exit.taken && ExitWriterSelection.isWriter(exit.exit, node, otherWriters)) {
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
            (end, error) -> {
              log.event("exit-relayed")
                  .with("peer", leaver)
                  .with("target", exit.instance())
                  .with("outcome", error == null ? "stored" : String.valueOf(error))
                  .write();
              if (error == null) {
                waiting.remove(leaver, waitingExit);
                writtenExits.put(exit, true);
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
