package org.cuminlatch.testkit.load;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Comparison of the outcomes that callers observed with the executions that targets counted. The
 * violations are listed by request ID.
 *
 * @param checked number of requests compared
 * @param repeated non-idempotent requests that were executed more than once
 * @param falselyNotRun requests that were executed although a refusal stated that they were not
 * @param wrongAnswers requests whose answer was incomplete or belonged to another request
 * @param unranAnswers requests with a complete answer that no target executed
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
   * Compares observations with executions.
   *
   * @param observations what the callers observed
   * @param executions number of executions on all targets, by request ID
   * @return the audit with all violations
   */
  public static Audit of(List<Observation> observations, Map<String, Integer> executions) {
    return new Audit(
        observations.size(),
        ids(
            observations,
            observation -> !observation.idempotent() && executionsOf(executions, observation) > 1),
        ids(
            observations,
            observation ->
                observation.outcome() == Outcome.NOT_RUN
                    && executionsOf(executions, observation) > 0),
        ids(observations, observation -> observation.outcome() == Outcome.WRONG_ANSWER),
        ids(
            observations,
            observation ->
                observation.outcome() == Outcome.OK && executionsOf(executions, observation) == 0));
  }

  private static int executionsOf(Map<String, Integer> executions, Observation observation) {
    return executions.getOrDefault(observation.requestId(), 0);
  }

  private static List<String> ids(
      List<Observation> observations, Predicate<Observation> violation) {
    return observations.stream().filter(violation).map(Observation::requestId).toList();
  }

  /**
   * Returns whether the audit found no violation.
   *
   * @return true if all lists are empty
   */
  public boolean hasNoViolations() {
    return repeated.isEmpty()
        && falselyNotRun.isEmpty()
        && wrongAnswers.isEmpty()
        && unranAnswers.isEmpty();
  }
}
