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

  /** Status of each node, by the node's name, that waits for its target's exit to be stored. */
  private final Map<String, TargetStatus> waiting = new HashMap<>();

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

  /**
   * Handles the status of another node.
   *
   * @param status the status
   * @param address address of the node, under which its target is stored
   * @param canWrite whether this node can write; if the store is down for all, none should try
   * @param otherWriters names of the other nodes that can write
   */
  void onStatus(
      TargetStatus status, Address address, boolean canWrite, Collection<String> otherWriters) {
    if (!needsWriter(status)) {
      waiting.remove(status.getNode());
      return;
    }
    TargetExit exit = exitOf(status);
    if (writtenExits.containsKey(exit)) {
      listener.onStored(address, exit);
      return;
    }
    TargetStatus known = waiting.get(status.getNode());
    boolean isNew = known == null || !exitOf(known).equals(exit);
    if (isNew && canWrite && ExitWriterSelection.isWriter(exit, node, otherWriters)) {
      waiting.put(status.getNode(), status);
      write(status, address, 0, System.nanoTime());
    }
  }

  private static boolean needsWriter(TargetStatus status) {
    return status.getPhase() == TargetPhase.LEAVING
        && status.getStoreLost()
        && !status.getInstance().isEmpty();
  }

  private static TargetExit exitOf(TargetStatus status) {
    return new TargetExit(status.getInstance(), status.getBornMillis());
  }

  private void write(TargetStatus status, Address address, int failures, long firstNanos) {
    boolean superseded = waiting.get(status.getNode()) != status;
    if (superseded || System.nanoTime() - firstNanos > RETRY_PERIOD.toNanos()) {
      return;
    }
    TargetExit exit = exitOf(status);
    store
        .append(
            Stream.OWN_TARGETS,
            address.toString(),
            LocalTarget.exitRecord(exit).toByteArray(),
            OptionalLong.empty())
        .whenCompleteAsync(
            (end, error) -> {
              log.event("exit-relayed")
                  .with("peer", status.getNode())
                  .with("target", exit.instance())
                  .with("outcome", error == null ? "stored" : String.valueOf(error))
                  .write();
              if (error == null) {
                waiting.remove(status.getNode(), status);
                writtenExits.put(exit, true);
                listener.onStored(address, exit);
              } else {
                retry(status, address, failures + 1, firstNanos);
              }
            },
            control);
  }

  private void retry(TargetStatus status, Address address, int failures, long firstNanos) {
    Duration delay = RetryDelay.after(failures, MIN_RETRY_DELAY, MAX_RETRY_DELAY, random);
    control.schedule(
        () -> write(status, address, failures, firstNanos),
        delay.toMillis(),
        TimeUnit.MILLISECONDS);
  }
}
