package org.cuminlatch.testkit.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * Counts of a load.
 *
 * @param sent requests sent
 * @param ok whole answers to their own request
 * @param wrongAnswer answers that were not whole or another request's
 * @param notRun refusals that say that the request was not run
 * @param unknown requests that may or may not have run
 * @param other other statuses
 * @param byStatus requests by HTTP status, 0 where there was no answer
 * @param byVersion whole answers by target version
 * @param p50Micros median latency of whole answers, in microseconds
 * @param p99Micros 99th percentile
 * @param maxMicros largest latency
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
  private static final double MEDIAN = 50;
  private static final double NINETY_NINE = 99;

  /**
   * Sums observations up.
   *
   * @param observations the requests of a load
   * @return the counts
   */
  public static LoadSummary of(List<Observation> observations) {
    Map<Outcome, Long> outcomes =
        observations.stream()
            .collect(Collectors.groupingBy(Observation::outcome, Collectors.counting()));
    Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
    observations.stream()
        .filter(seen -> seen.outcome() == Outcome.OK)
        .forEach(seen -> latency.recordValue(seen.latency().toNanos() / 1_000));
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
            .filter(seen -> seen.outcome() == Outcome.OK)
            .collect(
                Collectors.groupingBy(Observation::version, TreeMap::new, Collectors.counting())),
        latency.getValueAtPercentile(MEDIAN),
        latency.getValueAtPercentile(NINETY_NINE),
        latency.getMaxValue());
  }
}
