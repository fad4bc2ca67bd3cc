package org.cuminlatch.node.call;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cuminlatch.core.retry.AttemptId;

/**
 * Looks for connections to the target that make no progress.
 *
 * <p>A silent connection and a slow target look alike, so the target is probed on a fresh
 * connection. If it answers, later requests use fresh connections, and an idempotent attempt that
 * has no answer yet and has not been repeated is given up as unknown without blame. Others stay:
 * one that is not idempotent may be running, and one whose answer has begun can't be moved.
 */
final class StallWatch {

  static final Duration PROGRESS_LIMIT = Duration.ofSeconds(1);

  private final TargetGate gate;
  private final TargetClient client;
  private final InstantSource clock;
  private final Set<AttemptId> probed = new HashSet<>();
  private boolean probing;

  StallWatch(TargetGate gate, TargetClient client, InstantSource clock) {
    this.gate = gate;
    this.client = client;
    this.clock = clock;
  }

  synchronized void check(Instant now) {
    List<RunningAttempt> stalled = gate.stalled(PROGRESS_LIMIT, now);
    probed.retainAll(stalled.stream().map(RunningAttempt::id).toList());
    boolean isNew = stalled.stream().anyMatch(attempt -> !probed.contains(attempt.id()));
    if (!isNew || probing) {
      return;
    }
    probing = true;
    client.probe().thenAccept(answered -> probed(stalled, answered));
  }

  private void probed(List<RunningAttempt> stalled, boolean answered) {
    synchronized (this) {
      probing = false;
      stalled.forEach(attempt -> probed.add(attempt.id()));
    }
    if (!answered) {
      return;
    }
    client.renew(clock.instant());
    stalled.stream().filter(RunningAttempt::canMove).forEach(gate::connectionSilent);
  }
}
