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
 * What the node believes of the target beside it, also over its own restarts; used on the control
 * loop.
 *
 * <p>The store holds under the node's address either the last target that was ready, with which a
 * restarted node serves at once, or the one that has said that it leaves, which is stored before
 * that is acknowledged.
 */
final class OwnTarget implements TargetReports {

  /** Longest time for which a report waits for the store; reports are repeated after a second. */
  private static final Duration LONGEST_STORE_WAIT = Duration.ofMillis(800);

  private static final Duration STORE_RETRY = Duration.ofMillis(500);

  private final String key;
  private final EventLoop control;
  private final KeyedStore store;
  private final EventLog log;
  private final GateControl gate;
  private final TargetLifecycle life = new TargetLifecycle();
  private final CompletableFuture<Void> read = new CompletableFuture<>();
  private TargetStatus storing;

  OwnTarget(String key, EventLoop control, KeyedStore store, EventLog log, GateControl gate) {
    this.key = key;
    this.control = control;
    this.store = store;
    this.log = log;
    this.gate = gate;
  }

  /** What the reports change at the gate; each completes once it holds there. */
  interface GateControl {

    CompletableFuture<Void> open(TargetReport report);

    CompletableFuture<Void> heard();

    CompletableFuture<Void> shut();
  }

  /** Reads what was stored before this process started; reports wait for it for a moment. */
  void read() {
    control.schedule(
        () -> read.complete(null), LONGEST_STORE_WAIT.toMillis(), TimeUnit.MILLISECONDS);
    store
        .newest(Stream.OWN_TARGETS)
        .whenComplete(
            (page, error) -> {
              if (error == null) {
                page.items().stream().filter(item -> item.key().equals(key)).forEach(this::restore);
              }
              read.complete(null);
            });
  }

  private void restore(Item item) {
    try {
      TargetStatus stored = TargetStatus.parseFrom(item.value());
      if (stored.getPhase() == TargetPhase.LEAVING) {
        life.restore(new TargetExit(stored.getInstance(), stored.getBornMillis()));
      } else {
        take(reportOf(stored));
      }
    } catch (InvalidProtocolBufferException | IllegalArgumentException unreadable) {
      log.event("record-unusable")
          .with("stream", Stream.OWN_TARGETS.name())
          .with("reason", String.valueOf(unreadable))
          .write();
    }
  }

  /** Returns a report that any of the target's own reports supersedes. */
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
  public CompletionStage<Void> report(TargetReport report) {
    return read.thenComposeAsync(
        unused -> {
          Optional<TargetReport> before = life.latest();
          CompletionStage<Void> taken = take(report);
          if (life.takesRequests() && !before.filter(report::isOfSameStart).isPresent()) {
            store(describe(TargetStatus.newBuilder(), true).build());
          }
          return taken;
        },
        control);
  }

  private CompletionStage<Void> take(TargetReport report) {
    TargetLifecycle.Change change = life.report(report);
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
      case LEAVES -> leave(report.instance(), report.bornMillis());
      case NONE -> gate.heard();
      default -> CompletableFuture.completedFuture(null);
    };
  }

  @Override
  public CompletionStage<Void> deregister(String instance, long bornMillis) {
    return read.thenComposeAsync(
        unused -> {
          TargetLifecycle.Change change = life.deregister(instance, bornMillis);
          log.event("target-deregistered")
              .with("target", instance)
              .with("born", bornMillis)
              .with("change", change.name())
              .write();
          return change == TargetLifecycle.Change.LEAVES
              ? leave(instance, bornMillis)
              : CompletableFuture.completedFuture(null);
        },
        control);
  }

  /** Shuts the gate, and remembers it where a restart finds it, before it is acknowledged. */
  private CompletionStage<Void> leave(String instance, long bornMillis) {
    TargetStatus left =
        TargetStatus.newBuilder()
            .setInstance(instance)
            .setBornMillis(bornMillis)
            .setPhase(TargetPhase.LEAVING)
            .build();
    CompletableFuture<Void> stored =
        store(left).completeOnTimeout(null, LONGEST_STORE_WAIT.toMillis(), TimeUnit.MILLISECONDS);
    return gate.shut().thenCombine(stored, (shut, written) -> null);
  }

  private CompletableFuture<Void> store(TargetStatus described) {
    CompletableFuture<Void> stored = new CompletableFuture<>();
    storing = described;
    tryToStore(described, stored);
    return stored;
  }

  /** Writes until it is written or something newer is to be stored. */
  private void tryToStore(TargetStatus described, CompletableFuture<Void> stored) {
    if (storing != described) {
      return;
    }
    store
        .append(Stream.OWN_TARGETS, key, described.toByteArray(), OptionalLong.empty())
        .whenComplete(
            (end, error) -> {
              if (error == null) {
                stored.complete(null);
                return;
              }
              log.event("target-not-stored")
                  .with("target", described.getInstance())
                  .with("phase", described.getPhase().name())
                  .with("reason", String.valueOf(error))
                  .write();
              control.schedule(
                  () -> tryToStore(described, stored),
                  STORE_RETRY.toMillis(),
                  TimeUnit.MILLISECONDS);
            });
  }

  /**
   * Adds what is known of the target to a status.
   *
   * @param reachable whether the target can be connected to
   */
  TargetStatus.Builder describe(TargetStatus.Builder status, boolean reachable) {
    Optional<TargetReport> latest = life.latest();
    if (latest.isEmpty()) {
      return status.setPhase(TargetPhase.ABSENT);
    }
    TargetReport report = latest.get();
    TargetPhase reachablePhase = reachable ? TargetPhase.READY : TargetPhase.ABSENT;
    return status
        .setPhase(life.takesRequests() ? reachablePhase : TargetPhase.LEAVING)
        .setInstance(report.instance())
        .setBornMillis(report.bornMillis())
        .setService(report.service())
        .setVersion(report.version())
        .setSlots(report.slots())
        .setColdMicros(report.coldLeft().toNanos() / 1000);
  }
}
