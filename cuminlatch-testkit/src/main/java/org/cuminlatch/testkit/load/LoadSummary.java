package org.cuminlatch.testkit.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of a load.
 *
 * @param sent requests sent
 * @param ok complete answers that belong to their request
 * @param wrongAnswer answers with status 200 that were incomplete or belonged to another request
 * @param notRun refusals that state that the request was not executed
 * @param unknown requests that may or may not have been executed
 * @param other answers with any other status
 * @param byStatus requests by HTTP status, 0 if there was no answer
 * @param byVersion complete answers by target version
 * @param p50Micros median latency of complete answers in microseconds
 * @param p99Micros 99th percentile of that latency in microseconds
 * @param maxMicros maximum of that latency in microseconds
 */
public record LoadSummary(
    long sent,
    long ok,
    long wrongAnswer,
    long notRun,
    long unknown,
    long other,
    Map<Integer, Long> byStatus,
    Map<String, Long> byVersion,
    long p50Micros,
    long p99Micros,
    long maxMicros) {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MEDIAN_PERCENTILE = 50;
  private static final double TAIL_PERCENTILE = 99;

  /**
   * Summarizes observations.
   *
   * @param observations observations of all requests of a load
   * @return the summary
   */
  public static LoadSummary of(List<Observation> observations) {
    Map<Outcome, Long> outcomes =
        observations.stream()
            .collect(Collectors.groupingBy(Observation::outcome, Collectors.counting()));
    Histogram latencyMicros = new Histogram(SIGNIFICANT_DIGITS);
    observations.stream()
        .filter(observation -> observation.outcome() == Outcome.OK)
        .forEach(observation -> latencyMicros.recordValue(observation.latency().toNanos() / 1_000));
    return new LoadSummary(
        observations.size(),
        outcomes.getOrDefault(Outcome.OK, 0L),
        outcomes.getOrDefault(Outcome.WRONG_ANSWER, 0L),
        outcomes.getOrDefault(Outcome.NOT_RUN, 0L),
        outcomes.getOrDefault(Outcome.UNKNOWN, 0L),
        outcomes.getOrDefault(Outcome.OTHER, 0L),
        observations.stream()
            .collect(
                Collectors.groupingBy(Observation::status, TreeMap::new, Collectors.counting())),
        observations.stream()
            .filter(observation -> observation.outcome() == Outcome.OK)
            .collect(
                Collectors.groupingBy(Observation::version, TreeMap::new, Collectors.counting())),
        latencyMicros.getValueAtPercentile(MEDIAN_PERCENTILE),
        latencyMicros.getValueAtPercentile(TAIL_PERCENTILE),
        latencyMicros.getMaxValue());
  }
}
