package org.cuminlatch.bench.call;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.cuminlatch.bench.Experiment;
import org.cuminlatch.bench.ExperimentOptions;
import org.cuminlatch.bench.Results;

/**
 * Compares ways to match answers with attempts while answers, cancellations and slot releases
 * arrive late.
 *
 * <p>The identity of an attempt follows the replica identifier of the Mooncake RFC 3030,
 * "Replica-ID Validation for PutEnd / PutRevoke": a random identity per attempt instead of the
 * identity of the caller's call or connection.
 */
public final class AttemptIdentityExperiment implements Experiment {

  @Override
  public String name() {
    return "attempt-identity";
  }

  @Override
  public String summary() {
    return "wrong answers and wrong slot releases when matching by attempt, call or caller";
  }

  @Override
  public Results run(ExperimentOptions options) {
    int calls = (int) options.longValue("calls", 100_000);
    List<List<String>> rows = new ArrayList<>();
    rows.add(row("caller", LateAnswerSimulation.BY_CALLER, calls, options.seed()));
    rows.add(row("call", LateAnswerSimulation.BY_CALL, calls, options.seed()));
    rows.add(
        row("counter from 0 per node", LateAnswerSimulation.BY_COUNTER, calls, options.seed()));
    rows.add(row("attempt", LateAnswerSimulation.BY_ATTEMPT, calls, options.seed()));
    return new Results(
        "Matching under late and crossed answers, 5 % of attempts time out before their answer",
        List.of(
            "matched by", "calls", "wrong answers taken", "slots released wrongly", "most running"),
        rows,
        List.of(
            "one node of the callers, one target with "
                + LateAnswerSimulation.SLOTS
                + " slots, virtual time"));
  }

  private static List<String> row(
      String name, LongFunction<LateAnswerSimulation.IdentityScheme> scheme, int calls, long seed) {
    LateAnswerSimulation result = LateAnswerSimulation.run(scheme, calls, seed);
    return List.of(
        name,
        Integer.toString(calls),
        Long.toString(result.wrongAnswers()),
        Long.toString(result.wrongReleases()),
        Integer.toString(result.maxRunning()));
  }
}
