package org.cuminlatch.testkit.target;

import java.util.Map;

/**
 * What a target has done with the requests that it got.
 *
 * @param started requests that it began to run
 * @param answered requests that it ran and answered well
 * @param failed requests that it ran and answered with an error or by closing the connection
 * @param refused requests that it refused before running them
 * @param cancelled requests whose connection closed while they ran
 * @param late requests that it gave up at their deadline
 * @param arrivedAfterDrain requests that arrived after it was told to drain
 * @param lastArrivalAfterDrainMillis how long after that the last one arrived, -1 if none did
 * @param byRequest how often each request was begun, by the caller's id
 */
public record Executions(
    long started,
    long answered,
    long failed,
    long refused,
    long cancelled,
    long late,
    long arrivedAfterDrain,
    long lastArrivalAfterDrainMillis,
    Map<String, Integer> byRequest) {

  /** Copies the counts. */
  public Executions {
    byRequest = Map.copyOf(byRequest);
  }
}
