package org.cuminlatch.testkit.load;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Comparison of what callers saw with what targets ran.
 *
 * @param checked requests compared
 * @param repeated requests that may not be repeated and ran more than once
 * @param falselyNotRun requests that ran although the refusal said that they had not
 * @param wrongAnswers answers that were not whole or another request's
 * @param unranAnswers whole answers to requests that no target ran
 */
public record Audit(
    long checked,
    List<String> repeated,
    List<String> falselyNotRun,
    List<String> wrongAnswers,
    List<String> unranAnswers) {

  /** Copies the lists. */
  public Audit {
    repeated = List.copyOf(repeated);
    falselyNotRun = List.copyOf(falselyNotRun);
    wrongAnswers = List.copyOf(wrongAnswers);
    unranAnswers = List.copyOf(unranAnswers);
  }

  /**
   * Compares.
   *
   * @param observations what the callers saw
   * @param runs how often each request ran, all targets together, by request id
   * @return the differences
   */
  public static Audit of(List<Observation> observations, Map<String, Integer> runs) {
    return new Audit(
        observations.size(),
        ids(observations, seen -> !seen.idempotent() && runs(runs, seen) > 1),
        ids(observations, seen -> seen.outcome() == Outcome.NOT_RUN && runs(runs, seen) > 0),
        ids(observations, seen -> seen.outcome() == Outcome.WRONG_ANSWER),
        ids(observations, seen -> seen.outcome() == Outcome.OK && runs(runs, seen) == 0));
  }

  private static int runs(Map<String, Integer> runs, Observation seen) {
    return runs.getOrDefault(seen.requestId(), 0);
  }

  private static List<String> ids(List<Observation> observations, Predicate<Observation> violates) {
    return observations.stream().filter(violates).map(Observation::requestId).toList();
  }

  /**
   * Returns whether no promise was broken.
   *
   * @return true if all lists are empty
   */
  public boolean clean() {
    return repeated.isEmpty()
        && falselyNotRun.isEmpty()
        && wrongAnswers.isEmpty()
        && unranAnswers.isEmpty();
  }
}
