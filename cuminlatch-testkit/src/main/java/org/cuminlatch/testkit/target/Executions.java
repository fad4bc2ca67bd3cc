package org.cuminlatch.testkit.target;

import java.util.Map;

/**
 * Counts of the requests that a target received, by outcome.
 *
 * @param started requests whose execution started
 * @param answered requests that were executed and answered with success
 * @param failed requests that were executed and answered with an error or by closing the connection
 * @param refused requests that were refused without being executed
 * @param cancelled requests whose connection was closed during their execution
 * @param late requests whose execution ended at their deadline
 * @param arrivedAfterDrain requests that arrived after the start of the drain
 * @param lastArrivalAfterDrainMillis time from the start of the drain to the last such arrival in
 *     milliseconds, -1 if there was none
 * @param byRequest number of started executions by request ID
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
