package org.cuminlatch.testkit.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Counts what becomes of requests. */
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

  synchronized long started(String requestId) {
    started++;
    if (!requestId.isEmpty()) {
      byRequest.merge(requestId, 1, Integer::sum);
    }
    return started;
  }

  synchronized void answered() {
    answered++;
  }

  synchronized void failed() {
    failed++;
  }

  synchronized void refused() {
    refused++;
  }

  synchronized void arrivedAfterDrain(Duration sinceDrain) {
    arrivedAfterDrain++;
    lastArrivalAfterDrainMillis = sinceDrain.toMillis();
  }

  synchronized void cancelled() {
    cancelled++;
  }

  synchronized void late() {
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
