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
import org.cuminlatch.core.store.StoreEras;
import org.cuminlatch.core.store.StoredMark;
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
 * restarted node sends calls at once, or a target that has reported that it leaves. Such a report
 * is acknowledged once the store holds it, written by this node or by another one, as nothing else
 * outlasts the loss of all nodes. The gate is closed at once, whether the store can be reached or
 * not. What a store that has returned from an older copy may have lost is written again.
 */
final class LocalTarget implements TargetReportHandler {

  /** Time after which a report no longer waits for the store; its target repeats it. */
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(800);

  /** Time after which other nodes are asked to store an exit in place of this node. */
  private static final Duration OWN_WRITE_TIMEOUT = Duration.ofMillis(200);

  private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(500);

  private static final Duration STORED_READ_RETRY_DELAY = Duration.ofMillis(1600);

  private final String key;
  private final EventLoop control;
  private final KeyedStore store;
  private final StoreEraControl eras;
  private final EventLog log;
  private final GateControl gate;
  private final TargetLifecycle lifecycle = new TargetLifecycle();
  private final CompletableFuture<Void> storedRead = new CompletableFuture<>();
  private final CompletableFuture<Void> storedReadAwaited = new CompletableFuture<>();
  private TargetStatus statusToStore;

  /** Exit of the last start, empty unless the store may still name that start as ready. */
  private Optional<PendingExit> pendingExit = Optional.empty();

  /** When the store was first known to hold the latest status; empty while it is written. */
  private Optional<StoredMark> storedMark = Optional.empty();

  LocalTarget(
      String key,
      EventLoop control,
      KeyedStore store,
      StoreEraControl eras,
      EventLog log,
      GateControl gate) {
    this.key = key;
    this.control = control;
    this.store = store;
    this.eras = eras;
    this.log = log;
    this.gate = gate;
  }

  /** Changes that reports make at the gate; each completes when it is in effect there. */
  interface GateControl {

    CompletableFuture<Void> open(TargetReport report);

    /** Called on each further report of a target that is unchanged. */
    CompletableFuture<Void> targetReachable(TargetReport report);

    CompletableFuture<Void> close();

    /**
     * Tells other nodes whether this one can write the exit of its target to the store; if it
     * can't, they write it and confirm that.
     */
    void announceExitWrites(boolean possible);
  }

  /**
   * An exit that is being written to the store.
   *
   * @param exit the exit
   * @param stored completed once the store holds it
   */
  private record PendingExit(TargetExit exit, CompletableFuture<Void> stored) {}

  /** Reads the status stored before this process started; reports wait for it, up to a timeout. */
  void readStored() {
    storedRead.thenRun(() -> storedReadAwaited.complete(null));
    control.schedule(
        () -> storedReadAwaited.complete(null), STORE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    readStoredUntilRead();
  }

  private void readStoredUntilRead() {
    store
        .newest(Stream.OWN_TARGETS)
        .whenCompleteAsync(
            (page, error) -> {
              if (error == null && !eras.isOutdated(page.era())) {
                page.items().stream()
                    .filter(item -> item.key().equals(key))
                    .forEach(item -> restore(item, page.era()));
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

  private void restore(Item item, OptionalLong era) {
    try {
      TargetStatus read = TargetStatus.parseFrom(item.value());
      if (read.getPhase() == TargetPhase.LEAVING) {
        restoreExit(new TargetExit(read.getInstance(), read.getBornMillis()));
      } else {
        apply(reportOf(read));
      }
      storedMark = Optional.of(eras.mark(era));
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
        Optional.empty());
  }

  @Override
  public CompletionStage<Void> onReport(TargetReport report) {
    return storedReadAwaited.thenComposeAsync(
        unused -> {
          Optional<TargetReport> previous = lifecycle.latest();
          CompletionStage<Void> applied = apply(report);
          if (!previous.filter(report::isOfSameStart).isPresent()) {
            // a late report must not replace an exit that has not been read yet
            storedRead.thenRun(() -> storeReady(report));
          }
          return applied;
        },
        control);
  }

  private void storeReady(TargetReport report) {
    if (lifecycle.takesRequests() && lifecycle.latest().filter(report::isOfSameStart).isPresent()) {
      store(describe(TargetStatus.newBuilder(), true).build());
    }
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
          gate.targetReachable(report).thenComposeAsync(reachable -> whenExitStored(), control);
      case STALE, LEFT_BEFORE -> whenExitStored();
    };
  }

  private CompletionStage<Void> onReady(TargetReport report) {
    if (pendingExit.isPresent()) {
      // the record of this start replaces that of the earlier one, whose exit is not acknowledged
      pendingExit = Optional.empty();
      gate.announceExitWrites(true);
    }
    return gate.open(report);
  }

  @Override
  public CompletionStage<Void> onDeregistration(String instance, long bornMillis) {
    return storedReadAwaited.thenComposeAsync(
        unused -> {
          TargetLifecycle.Change change = lifecycle.deregister(instance, bornMillis);
          log.event("target-deregistered")
              .with("target", instance)
              .with("born", bornMillis)
              .with("change", change.name())
              .write();
          return change == TargetLifecycle.Change.LEAVES ? onLeave() : whenExitStored();
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
   * Handles what another node knows of an exit: that the store holds it, or that a target left
   * which this node, restarted since, reports as ready.
   *
   * @param token token of the exit
   * @param peer address of the other node
   */
  void onExitConfirmed(long token, String peer) {
    pendingExit
        .filter(pending -> token == ExitToken.stored(pending.exit()))
        .ifPresent(this::onExitStored);
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
   * store holds the exit.
   */
  private CompletionStage<Void> onLeave() {
    writeExit(lifecycle.exit().orElseThrow());
    return gate.close().thenComposeAsync(closed -> whenExitStored(), control);
  }

  private void writeExit(TargetExit exit) {
    PendingExit pending = new PendingExit(exit, new CompletableFuture<>());
    pendingExit = Optional.of(pending);
    store(exitRecord(pending.exit())).thenRunAsync(() -> onExitStored(pending), control);
    control.schedule(
        () -> {
          if (isPending(pending)) {
            gate.announceExitWrites(false);
          }
        },
        OWN_WRITE_TIMEOUT.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /**
   * Writes the latest status again if the store may have lost it. An exit is not acknowledged again
   * before the store holds it.
   */
  void onStoreReturned() {
    boolean ready = lifecycle.takesRequests();
    Duration copyAge = ready ? StoreEras.USUAL_COPY_AGE : StoreEras.MAX_COPY_AGE;
    Optional<StoredMark> lost = storedMark.filter(mark -> eras.mayBeLost(mark, copyAge));
    if (lost.isPresent()) {
      eras.spread(
          () -> {
            if (storedMark.equals(lost)) {
              writeAgain();
            }
          });
    }
  }

  private void writeAgain() {
    eras.onRewrite(Stream.OWN_TARGETS, key);
    if (lifecycle.takesRequests()) {
      store(describe(TargetStatus.newBuilder(), true).build());
    } else {
      lifecycle.exit().ifPresent(this::writeExit);
    }
  }

  private boolean isPending(PendingExit exit) {
    return pendingExit.filter(pending -> pending == exit).isPresent();
  }

  private void onExitStored(PendingExit exit) {
    if (isPending(exit)) {
      pendingExit = Optional.empty();
      storedMark = storedMark.or(() -> Optional.of(eras.mark(OptionalLong.of(eras.latest()))));
      gate.announceExitWrites(true);
      exit.stored().complete(null);
    }
  }

  /**
   * Completes when no exit is pending; fails if the store does not hold it after a timeout. The
   * target repeats a report that is not acknowledged.
   */
  private CompletionStage<Void> whenExitStored() {
    if (pendingExit.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    PendingExit pending = pendingExit.get();
    CompletableFuture<Void> waiting = pending.stored().copy();
    control.schedule(
        () -> endWait(pending.exit(), waiting), STORE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    return waiting;
  }

  private void endWait(TargetExit exit, CompletableFuture<Void> waiting) {
    boolean ended =
        waiting.completeExceptionally(
            CuminlatchException.of(
                ErrorCode.LOG_UNAVAILABLE, Step.LOG_APPEND, key, "exit is not stored"));
    if (ended) {
      log.event("exit-not-stored").with("target", exit.instance()).write();
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
    CompletableFuture<Void> written = new CompletableFuture<>();
    statusToStore = newStatus;
    storedMark = Optional.empty();
    storeUntilWritten(newStatus, written);
    return written;
  }

  /** Retries a write until it succeeds or a newer status is to be stored. */
  private void storeUntilWritten(TargetStatus newStatus, CompletableFuture<Void> written) {
    boolean storedByOthers = newStatus.getPhase() == TargetPhase.LEAVING && pendingExit.isEmpty();
    if (statusToStore != newStatus || storedByOthers) {
      return;
    }
    store
        .append(Stream.OWN_TARGETS, key, newStatus.toByteArray(), OptionalLong.empty())
        .whenCompleteAsync(
            (appended, error) -> {
              if (error == null && !eras.isOutdated(appended.era())) {
                if (statusToStore == newStatus) {
                  storedMark = Optional.of(eras.mark(appended.era()));
                }
                written.complete(null);
                return;
              }
              log.event("target-not-stored")
                  .with("target", newStatus.getInstance())
                  .with("phase", newStatus.getPhase().name())
                  .with("reason", String.valueOf(error))
                  .write();
              if (newStatus.getPhase() == TargetPhase.LEAVING && pendingExit.isPresent()) {
                gate.announceExitWrites(false);
              }
              control.schedule(
                  () -> storeUntilWritten(newStatus, written),
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
        .setColdMicros(report.coldLeft().orElse(Duration.ZERO).toNanos() / 1000);
  }
}
