package org.cuminlatch.node.mesh;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.core.target.ExitRetention;
import org.cuminlatch.core.target.ExitToken;
import org.cuminlatch.core.target.TargetExit;
import org.cuminlatch.core.target.TargetLifecycle;
import org.cuminlatch.core.target.TargetReport;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.node.mesh.KeyedStore.Stream;
import org.cuminlatch.wire.proto.call.TargetPhase;
import org.cuminlatch.wire.proto.call.TargetStatus;

/**
 * Tracks the state of the local target, also across restarts of the node; used on the control loop.
 *
 * <p>Under the node's address the store holds either the last target that was ready, to which a
 * restarted node sends calls at once, or a target that has reported that it leaves. The latter
 * outlasts this process before the report is acknowledged: it is stored, by this node or by another
 * one, or other nodes remember it if the store can be reached by none.
 */
final class LocalTarget implements TargetReportHandler {

  /** Time after which a report no longer waits for the store; it is repeated after a second. */
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(800);

  /** Time after which other nodes are asked to store an exit in place of this node. */
  private static final Duration OWN_WRITE_TIMEOUT = Duration.ofMillis(200);

  private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(500);

  private static final Duration STORED_READ_RETRY_DELAY = Duration.ofMillis(1600);

  private final String key;
  private final EventLoop control;
  private final KeyedStore store;
  private final EventLog log;
  private final GateControl gate;
  private final TargetLifecycle lifecycle = new TargetLifecycle();
  private final CompletableFuture<Void> storedRead = new CompletableFuture<>();
  private TargetStatus statusToStore;

  /** Retention of the last exit in this process; completed once the store holds it. */
  private Optional<ExitRetention> retention = Optional.empty();

  private CompletableFuture<Void> exitStored = CompletableFuture.completedFuture(null);

  LocalTarget(String key, EventLoop control, KeyedStore store, EventLog log, GateControl gate) {
    this.key = key;
    this.control = control;
    this.store = store;
    this.log = log;
    this.gate = gate;
  }

  /** Changes that reports make at the gate; each completes when it is in effect there. */
  interface GateControl {

    CompletableFuture<Void> open(TargetReport report);

    CompletableFuture<Void> targetReachable();

    CompletableFuture<Void> close();

    /**
     * Tells other nodes whether this one can write the exit of its target to the store; if it
     * can't, they write it and confirm what they know of it.
     */
    void announceExitWrites(boolean possible);

    /** Returns the number of other nodes that this node is connected to. */
    int connectedNodes();
  }

  /** Reads the status stored before this process started; reports wait for it, up to a timeout. */
  void readStored() {
    control.schedule(
        () -> storedRead.complete(null), STORE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    readStoredUntilRead();
  }

  private void readStoredUntilRead() {
    store
        .newest(Stream.OWN_TARGETS)
        .whenCompleteAsync(
            (page, error) -> {
              if (error == null) {
                page.items().stream().filter(item -> item.key().equals(key)).forEach(this::restore);
                storedRead.complete(null);
                return;
              }
              log.event("target-not-read").with("reason", String.valueOf(error)).write();
              control.schedule(
                  this::readStoredUntilRead,
                  STORED_READ_RETRY_DELAY.toMillis(),
                  TimeUnit.MILLISECONDS);
            },
            control);
  }

  private void restore(Item item) {
    try {
      TargetStatus stored = TargetStatus.parseFrom(item.value());
      if (stored.getPhase() == TargetPhase.LEAVING) {
        restoreExit(new TargetExit(stored.getInstance(), stored.getBornMillis()));
      } else {
        apply(reportOf(stored));
      }
    } catch (InvalidProtocolBufferException | IllegalArgumentException unreadable) {
      log.event("record-unusable")
          .with("stream", Stream.OWN_TARGETS.name())
          .with("reason", String.valueOf(unreadable))
          .write();
    }
  }

  /** Restores an exit, also if a late report has opened the gate before the store was read. */
  private void restoreExit(TargetExit exit) {
    boolean tookRequests = lifecycle.takesRequests();
    lifecycle.restore(exit);
    if (tookRequests && !lifecycle.takesRequests()) {
      log.event("target-left-before").with("target", exit.instance()).write();
      gate.close();
    }
  }

  /** Returns a report with number 0, which any report of the target itself supersedes. */
  private static TargetReport reportOf(TargetStatus stored) {
    return new TargetReport(
        stored.getInstance(),
        stored.getBornMillis(),
        0,
        stored.getService(),
        stored.getVersion(),
        stored.getSlots(),
        true,
        Duration.ZERO);
  }

  @Override
  public CompletionStage<Void> onReport(TargetReport report) {
    return storedRead.thenComposeAsync(
        unused -> {
          Optional<TargetReport> previous = lifecycle.latest();
          CompletionStage<Void> applied = apply(report);
          if (lifecycle.takesRequests() && !previous.filter(report::isOfSameStart).isPresent()) {
            store(describe(TargetStatus.newBuilder(), true).build());
          }
          return applied;
        },
        control);
  }

  private CompletionStage<Void> apply(TargetReport report) {
    TargetLifecycle.Change change = lifecycle.report(report);
    if (change != TargetLifecycle.Change.NONE) {
      log.event("target-report")
          .with("target", report.instance())
          .with("born", report.bornMillis())
          .with("sequence", report.sequence())
          .with("ready", String.valueOf(report.ready()))
          .with("version", report.version())
          .with("slots", report.slots())
          .with("change", change.name())
          .write();
    }
    return switch (change) {
      case READY -> onReady(report);
      case LEAVES -> onLeave();
      case NONE ->
          gate.targetReachable().thenComposeAsync(reachable -> whenExitRetained(), control);
      default -> CompletableFuture.completedFuture(null);
    };
  }

  private CompletionStage<Void> onReady(TargetReport report) {
    // an exit of an earlier start no longer matters: that start gets no request under its name
    retention.ifPresent(this::onExitStored);
    retention = Optional.empty();
    return gate.open(report);
  }

  @Override
  public CompletionStage<Void> onDeregistration(String instance, long bornMillis) {
    return storedRead.thenComposeAsync(
        unused -> {
          TargetLifecycle.Change change = lifecycle.deregister(instance, bornMillis);
          log.event("target-deregistered")
              .with("target", instance)
              .with("born", bornMillis)
              .with("change", change.name())
              .write();
          return change == TargetLifecycle.Change.LEAVES ? onLeave() : whenExitRetained();
        },
        control);
  }

  /** Handles an answer of the target that says that it leaves, for which it need not report. */
  void onLeavingAnswer(TargetReport target) {
    TargetLifecycle.Change change = lifecycle.deregister(target.instance(), target.bornMillis());
    log.event("target-leaving")
        .with("target", target.instance())
        .with("born", target.bornMillis())
        .with("change", change.name())
        .write();
    if (change == TargetLifecycle.Change.LEAVES) {
      onLeave();
    }
  }

  /**
   * Handles what another node knows of an exit, which may have been acknowledged by an earlier
   * process of this node.
   *
   * @param token token of the exit
   * @param peer address of the other node
   */
  void onExitConfirmed(long token, String peer) {
    retention.ifPresent(
        retained -> {
          retained.record(token, peer);
          if (retained.isStored()) {
            onExitStored(retained);
          }
        });
    Optional<TargetReport> forgotten =
        lifecycle
            .latest()
            .filter(report -> lifecycle.takesRequests())
            .filter(
                report ->
                    token
                        == ExitToken.known(new TargetExit(report.instance(), report.bornMillis())));
    forgotten.ifPresent(
        report -> {
          log.event("target-left-before")
              .with("target", report.instance())
              .with("peer", peer)
              .write();
          onLeavingAnswer(report);
        });
  }

  /**
   * Closes the gate and stores that the target leaves; completes when the gate is closed and the
   * exit outlasts this process.
   */
  private CompletionStage<Void> onLeave() {
    TargetExit exit = lifecycle.exit().orElseThrow();
    ExitRetention retained = new ExitRetention(exit);
    retention = Optional.of(retained);
    exitStored = new CompletableFuture<>();
    store(exitRecord(exit))
        .thenRunAsync(
            () -> {
              retained.recordStored();
              onExitStored(retained);
            },
            control);
    control.schedule(
        () -> {
          if (isCurrent(retained) && !retained.isStored()) {
            gate.announceExitWrites(false);
          }
        },
        OWN_WRITE_TIMEOUT.toMillis(),
        TimeUnit.MILLISECONDS);
    return gate.close().thenComposeAsync(closed -> whenExitRetained(), control);
  }

  private boolean isCurrent(ExitRetention retained) {
    return retention.filter(current -> current == retained).isPresent();
  }

  private void onExitStored(ExitRetention retained) {
    if (isCurrent(retained) && !exitStored.isDone()) {
      gate.announceExitWrites(true);
      exitStored.complete(null);
    }
  }

  /**
   * Completes when the last exit is stored or, after a timeout, if other nodes remember it; fails
   * if it would be lost with this process. The target repeats a report that is not acknowledged.
   */
  private CompletionStage<Void> whenExitRetained() {
    CompletableFuture<Void> retained = exitStored.copy();
    if (!retained.isDone()) {
      control.schedule(() -> endWait(retained), STORE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }
    return retained;
  }

  private void endWait(CompletableFuture<Void> waiting) {
    int nodes = gate.connectedNodes();
    if (waiting.isDone() || retention.isEmpty()) {
      return;
    }
    boolean retained = retention.get().isRetained(nodes);
    log.event("exit-not-stored")
        .with("target", retention.get().exit().instance())
        .with("retained", String.valueOf(retained))
        .with("nodes", nodes)
        .write();
    if (retained) {
      waiting.complete(null);
    } else {
      waiting.completeExceptionally(
          CuminlatchException.of(
              ErrorCode.LOG_UNAVAILABLE, Step.LOG_APPEND, key, "exit would be lost at a restart"));
    }
  }

  /** Returns the record of a target that has left. */
  static TargetStatus exitRecord(TargetExit exit) {
    return TargetStatus.newBuilder()
        .setInstance(exit.instance())
        .setBornMillis(exit.bornMillis())
        .setPhase(TargetPhase.LEAVING)
        .build();
  }

  private CompletableFuture<Void> store(TargetStatus newStatus) {
    CompletableFuture<Void> stored = new CompletableFuture<>();
    statusToStore = newStatus;
    storeUntilWritten(newStatus, stored);
    return stored;
  }

  /** Retries a write until it succeeds or a newer status is to be stored. */
  private void storeUntilWritten(TargetStatus newStatus, CompletableFuture<Void> stored) {
    boolean storedByOthers = newStatus.getPhase() == TargetPhase.LEAVING && exitStored.isDone();
    if (statusToStore != newStatus || storedByOthers) {
      return;
    }
    store
        .append(Stream.OWN_TARGETS, key, newStatus.toByteArray(), OptionalLong.empty())
        .whenCompleteAsync(
            (end, error) -> {
              if (error == null) {
                stored.complete(null);
                return;
              }
              log.event("target-not-stored")
                  .with("target", newStatus.getInstance())
                  .with("phase", newStatus.getPhase().name())
                  .with("reason", String.valueOf(error))
                  .write();
              if (newStatus.getPhase() == TargetPhase.LEAVING && !exitStored.isDone()) {
                gate.announceExitWrites(false);
              }
              control.schedule(
                  () -> storeUntilWritten(newStatus, stored),
                  STORE_RETRY_DELAY.toMillis(),
                  TimeUnit.MILLISECONDS);
            },
            control);
  }

  /**
   * Adds the state of the target to a status.
   *
   * @param reachable whether connections to the target can be opened
   */
  TargetStatus.Builder describe(TargetStatus.Builder status, boolean reachable) {
    Optional<TargetReport> latest = lifecycle.latest();
    if (latest.isEmpty()) {
      lifecycle.exit().ifPresent(exit -> status.mergeFrom(exitRecord(exit)));
      return status;
    }
    TargetReport report = latest.get();
    TargetPhase connectedPhase = reachable ? TargetPhase.READY : TargetPhase.ABSENT;
    return status
        .setPhase(lifecycle.takesRequests() ? connectedPhase : TargetPhase.LEAVING)
        .setInstance(report.instance())
        .setBornMillis(report.bornMillis())
        .setService(report.service())
        .setVersion(report.version())
        .setSlots(report.slots())
        .setColdMicros(report.coldLeft().toNanos() / 1000);
  }
}
