package org.cuminlatch.testkit.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Counts the requests of a target by their outcome. */
final class ExecutionCounter {

  private final Map<String, Integer> byRequest = new HashMap<>();
  private long started;
  private long answered;
  private long failed;
  private long refused;
  private long cancelled;
  private long late;
  private long arrivedAfterDrain;
  private long lastArrivalAfterDrainMillis = -1;

  synchronized long countStarted(String requestId) {
    started++;
    if (!requestId.isEmpty()) {
      byRequest.merge(requestId, 1, Integer::sum);
    }
    return started;
  }

  synchronized void countAnswered() {
    answered++;
  }

  synchronized void countFailed() {
    failed++;
  }

  synchronized void countRefused() {
    refused++;
  }

  synchronized void countArrivalAfterDrain(Duration sinceDrain) {
    arrivedAfterDrain++;
    lastArrivalAfterDrainMillis = sinceDrain.toMillis();
  }

  synchronized void countCancelled() {
    cancelled++;
  }

  synchronized void countLate() {
    late++;
  }

  synchronized Executions executions() {
    return new Executions(
        started,
        answered,
        failed,
        refused,
        cancelled,
        late,
        arrivedAfterDrain,
        lastArrivalAfterDrainMillis,
        byRequest);
  }
}
