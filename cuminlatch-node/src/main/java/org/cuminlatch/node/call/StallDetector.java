package org.cuminlatch.node.call;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cuminlatch.core.retry.AttemptId;

/**
 * Detects attempts that make no progress at the target.
 *
 * <p>A silent connection can't be told from a slow target, so the target is probed on a new
 * connection. If it answers, later requests use new connections, and an idempotent attempt that has
 * no answer yet and has not been retried ends as unknown, which does not count against the target.
 * Other attempts continue: one that is not idempotent may be running, and one whose answer has
 * started can't be retried elsewhere.
 */
final class StallDetector {

  static final Duration PROGRESS_TIMEOUT = Duration.ofSeconds(1);

  private final TargetGate gate;
  private final TargetClient client;
  private final InstantSource clock;
  private final Set<AttemptId> probed = new HashSet<>();
  private boolean probing;

  StallDetector(TargetGate gate, TargetClient client, InstantSource clock) {
    this.gate = gate;
    this.client = client;
    this.clock = clock;
  }

  synchronized void check(Instant now) {
    List<RunningAttempt> stalled = gate.stalled(PROGRESS_TIMEOUT, now);
    probed.retainAll(stalled.stream().map(RunningAttempt::id).toList());
    boolean hasNew = stalled.stream().anyMatch(attempt -> !probed.contains(attempt.id()));
    if (!hasNew || probing) {
      return;
    }
    probing = true;
    client.probe().thenAccept(answered -> onProbed(stalled, answered));
  }

  private void onProbed(List<RunningAttempt> stalled, boolean answered) {
    synchronized (this) {
      probing = false;
      stalled.forEach(attempt -> probed.add(attempt.id()));
    }
    if (!answered) {
      return;
    }
    client.replacePool(clock.instant());
    stalled.stream().filter(RunningAttempt::canRetryElsewhere).forEach(gate::failSilentConnection);
  }
}
