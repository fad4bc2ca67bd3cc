package org.cuminlatch.node.mesh;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
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
 * restarted node sends calls at once, or a target that has reported that it leaves. The latter is
 * stored before the report is acknowledged, unless the store takes too long.
 */
final class LocalTarget implements TargetReportHandler {

  /** Time after which a report no longer waits for the store; it is repeated after a second. */
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(800);

  private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(500);

  private final String key;
  private final EventLoop control;
  private final KeyedStore store;
  private final EventLog log;
  private final GateControl gate;
  private final TargetLifecycle lifecycle = new TargetLifecycle();
  private final CompletableFuture<Void> storedRead = new CompletableFuture<>();
  private TargetStatus statusToStore;

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
  }

  /** Reads the status stored before this process started; reports wait for it, up to a timeout. */
  void readStored() {
    control.schedule(
        () -> storedRead.complete(null), STORE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    store
        .newest(Stream.OWN_TARGETS)
        .whenComplete(
            (page, error) -> {
              if (error == null) {
                page.items().stream().filter(item -> item.key().equals(key)).forEach(this::restore);
              }
              storedRead.complete(null);
            });
  }

  private void restore(Item item) {
    try {
      TargetStatus stored = TargetStatus.parseFrom(item.value());
      if (stored.getPhase() == TargetPhase.LEAVING) {
        lifecycle.restore(new TargetExit(stored.getInstance(), stored.getBornMillis()));
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
      case READY -> gate.open(report);
      case LEAVES -> onLeave(report.instance(), report.bornMillis());
      case NONE -> gate.targetReachable();
      default -> CompletableFuture.completedFuture(null);
    };
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
          return change == TargetLifecycle.Change.LEAVES
              ? onLeave(instance, bornMillis)
              : CompletableFuture.completedFuture(null);
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
      onLeave(target.instance(), target.bornMillis());
    }
  }

  /**
   * Closes the gate and stores that the target leaves; completes when both are done or time out.
   */
  private CompletionStage<Void> onLeave(String instance, long bornMillis) {
    TargetStatus exit =
        TargetStatus.newBuilder()
            .setInstance(instance)
            .setBornMillis(bornMillis)
            .setPhase(TargetPhase.LEAVING)
            .build();
    CompletableFuture<Void> stored =
        store(exit).completeOnTimeout(null, STORE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    return gate.close().thenCombine(stored, (closed, written) -> null);
  }

  private CompletableFuture<Void> store(TargetStatus newStatus) {
    CompletableFuture<Void> stored = new CompletableFuture<>();
    statusToStore = newStatus;
    storeUntilWritten(newStatus, stored);
    return stored;
  }

  /** Retries a write until it succeeds or a newer status is to be stored. */
  private void storeUntilWritten(TargetStatus newStatus, CompletableFuture<Void> stored) {
    if (statusToStore != newStatus) {
      return;
    }
    store
        .append(Stream.OWN_TARGETS, key, newStatus.toByteArray(), OptionalLong.empty())
        .whenComplete(
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
              control.schedule(
                  () -> storeUntilWritten(newStatus, stored),
                  STORE_RETRY_DELAY.toMillis(),
                  TimeUnit.MILLISECONDS);
            });
  }

  /**
   * Adds the state of the target to a status.
   *
   * @param reachable whether connections to the target can be opened
   */
  TargetStatus.Builder describe(TargetStatus.Builder status, boolean reachable) {
    Optional<TargetReport> latest = lifecycle.latest();
    if (latest.isEmpty()) {
      return status.setPhase(TargetPhase.ABSENT);
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
