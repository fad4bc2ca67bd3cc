package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.route.ColdTargets;
import org.cuminlatch.core.target.ColdState;
import org.cuminlatch.core.target.ColdTracker;
import org.cuminlatch.core.target.TargetReport;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.wire.proto.call.TargetStatus;

/**
 * Tells the gate and the other nodes whether the local target is cold; used on the control loop.
 *
 * <p>The other nodes are told for how long the target is cold. They are told again only if that
 * turns out to be wrong, so that the usual end of a cold period costs no messages.
 */
final class ColdTargetControl {

  /** Difference in the end of the cold period from which the other nodes are told. */
  private static final Duration TELL_DIFFERENCE = Duration.ofSeconds(1);

  /**
   * Cold time that is told while a report is missing; the next report corrects it. Long enough that
   * a target that no longer reports causes few messages.
   */
  private static final Duration MISSING_REPORT_PERIOD = Duration.ofMinutes(1);

  private final String service;
  private final InstantSource clock;
  private final EventLog log;
  private final Listener listener;
  private final ColdTracker tracker = new ColdTracker();
  private boolean configured;
  private boolean hasTarget;
  private boolean evacuated;
  private ColdState state = ColdState.UNLIMITED;
  private boolean cold;

  /** Remaining cold time as of the last change, which the status names. */
  private Duration left = Duration.ZERO;

  /** End of the cold period that the other nodes were told last. */
  private Instant toldUntil = Instant.MIN;

  ColdTargetControl(String service, InstantSource clock, EventLog log, Listener listener) {
    this.service = service;
    this.clock = clock;
    this.log = log;
    this.listener = listener;
  }

  /** Receives changes. */
  interface Listener {

    /** Called when the state that the gate must apply has changed. */
    void onStateChange(ColdState state);

    /** Called when the status for nodes that connect has changed. */
    void onStatusChange();

    /** Called when the other nodes must be told the status now. */
    void tellAll();
  }

  /** Handles a configuration that comes into force. */
  void onConfiguration(Snapshot snapshot) {
    tracker.setLimit(snapshot.settingsOf(service).coldStart());
    boolean first = !configured;
    configured = true;
    update(first);
  }

  /** Handles a report; one with number 0 stands for a target that has not reported yet. */
  void onReport(TargetReport report) {
    hasTarget = true;
    if (report.sequence() > 0) {
      tracker.onReport(report, clock.instant());
    }
    update(false);
  }

  /** Handles the exit of the target. */
  void onLeave() {
    hasTarget = false;
  }

  /** Handles the answer to the health check with which this process began. */
  void onHealthAnswer(Duration coldLeft) {
    tracker.onHealthAnswer(coldLeft, clock.instant());
    update(false);
  }

  /** Expects a report when the zone of the target is returned to service. */
  void setEvacuated(boolean nowEvacuated) {
    if (evacuated && !nowEvacuated) {
      tracker.expectReport();
      update(false);
    }
    evacuated = nowEvacuated;
  }

  /** Notices the end of periods, and renews what the others were told while reports are missing. */
  void tick() {
    Instant now = clock.instant();
    boolean nowCold = state.isCold(now);
    if (hasTarget && (nowCold != cold || nowCold && !now.isBefore(toldUntil))) {
      update(false);
    }
  }

  /** Adds the state to a status if the target's service has a limit. */
  void describe(TargetStatus.Builder status) {
    if (state.perSecond() != Double.POSITIVE_INFINITY) {
      status.setColdMicros(left.toNanos() / 1000).setColdPerSecond(cold ? state.perSecond() : 0);
    }
  }

  private void update(boolean forGate) {
    final Instant now = clock.instant();
    ColdState newState = tracker.state();
    if (configured && (forGate || !newState.equals(state))) {
      listener.onStateChange(newState);
    }
    state = newState;
    if (!hasTarget) {
      return;
    }
    boolean nowCold = state.isCold(now);
    Instant until =
        now.isBefore(state.coldUntil()) ? state.coldUntil() : now.plus(MISSING_REPORT_PERIOD);
    left = nowCold ? Duration.between(now, until) : Duration.ZERO;
    boolean changed = nowCold != cold;
    if (changed) {
      cold = nowCold;
      log.event("target-cold")
          .with("cold", String.valueOf(cold))
          .with("perSecond", cold ? state.perSecond() : -1)
          .with("leftMillis", left.toMillis())
          .write();
    }
    if (cold ? until.isAfter(toldUntil.plus(TELL_DIFFERENCE)) : toldUntil.isAfter(now)) {
      toldUntil = cold ? until : Instant.MIN;
      listener.tellAll();
    } else if (cold || changed) {
      listener.onStatusChange();
    }
  }

  /** Records what the status of a node tells about its target; used on the traffic loop. */
  static void record(TargetStatus status, ColdTargets targets, Instant now) {
    if (status.getColdPerSecond() > 0) {
      Instant until = now.plusNanos(status.getColdMicros() * 1000);
      targets.update(status.getInstance(), status.getColdPerSecond(), until, now);
    } else {
      targets.remove(status.getInstance());
    }
  }
}
