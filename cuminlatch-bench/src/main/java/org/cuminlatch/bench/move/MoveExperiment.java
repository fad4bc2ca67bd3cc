package org.cuminlatch.bench.move;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cuminlatch.bench.Experiment;
import org.cuminlatch.bench.ExperimentOptions;
import org.cuminlatch.bench.Results;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.core.move.MovePlan;

/**
 * Measures the outcomes of moves to good and bad versions under several conditions, for the mesh
 * and for two baselines.
 */
public final class MoveExperiment implements Experiment {

  private static final long DEFAULT_MOVES_PER_ROW = 300;
  private static final long DEFAULT_THREADS = 3;
  private static final String ALL = "all";

  /** Creates the experiment. */
  public MoveExperiment() {}

  @Override
  public String name() {
    return "moves";
  }

  @Override
  public String summary() {
    return "outcomes of moves to good and bad versions"
        + " (-P moves=300 -P threads=3 -P kind=all -P condition=all)";
  }

  @Override
  public Results run(ExperimentOptions options) {
    int moves = (int) options.longValue("moves", DEFAULT_MOVES_PER_ROW);
    ExecutorService executor =
        Executors.newFixedThreadPool((int) options.longValue("threads", DEFAULT_THREADS));
    try {
      return run(options, moves, executor);
    } finally {
      executor.shutdown();
    }
  }

  private Results run(ExperimentOptions options, int moves, ExecutorService executor) {
    List<List<String>> rows = new ArrayList<>();
    List<String> unexpected = new ArrayList<>();
    for (VersionKind kind : select(VersionKind.values(), options.text("kind", ALL))) {
      for (Condition condition : select(Condition.values(), options.text("condition", ALL))) {
        List<MoveResult> results =
            runAll(
                executor,
                moves,
                seed(options, kind, condition.ordinal()),
                (service, random) -> MoveRun.ofMesh(service, kind, condition, random));
        rows.add(
            new MoveStatistics(parameterName(kind), parameterName(condition), kind.isBad(), results)
                .cells());
        unexpected.addAll(unexpectedOutcomes(kind, condition, results));
      }
      rows.add(baselineRow(executor, options, moves, kind, "blue-green", List.of(1.0)));
      rows.add(baselineRow(executor, options, moves, kind, "fixed steps", MovePlan.DEFAULT_SHARES));
    }
    return new Results(
        "Moves: ends by version and condition, " + moves + " moves a row over both users' services",
        MoveStatistics.COLUMNS,
        rows,
        unexpected);
  }

  private static List<String> baselineRow(
      ExecutorService executor,
      ExperimentOptions options,
      int moves,
      VersionKind kind,
      String name,
      List<Double> shares) {
    long seed = seed(options, kind, Condition.CALM.ordinal());
    List<MoveResult> results =
        runAll(
            executor,
            moves,
            seed,
            (service, random) -> MoveRun.ofBaseline(service, kind, shares, random));
    return new MoveStatistics(parameterName(kind), name, kind.isBad(), results).cells();
  }

  private interface MoveRunner {

    MoveResult run(ServiceProfile service, SplittableRandom random);
  }

  private static List<MoveResult> runAll(
      ExecutorService executor, int moves, long seed, MoveRunner move) {
    List<ServiceProfile> services = ServiceProfile.all();
    List<Future<MoveResult>> futures = new ArrayList<>();
    for (int i = 0; i < moves; i++) {
      ServiceProfile service = services.get(i % services.size());
      SplittableRandom random = new SplittableRandom(seed + i);
      futures.add(executor.submit(() -> move.run(service, random)));
    }
    return futures.stream().map(MoveExperiment::get).toList();
  }

  private static MoveResult get(Future<MoveResult> future) {
    try {
      return future.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw failed(e);
    } catch (ExecutionException e) {
      throw failed(e);
    }
  }

  private static CuminlatchException failed(Exception cause) {
    return CuminlatchException.of(
        ErrorCode.INTERNAL,
        Step.JUDGE,
        "-",
        "the simulation of a move failed with an exception",
        cause);
  }

  private static long seed(ExperimentOptions options, VersionKind kind, int condition) {
    return options.seed() * 1_000_003 + kind.ordinal() * 100_003L + condition * 10_007L;
  }

  private static List<String> unexpectedOutcomes(
      VersionKind kind, Condition condition, List<MoveResult> results) {
    List<String> unexpected = new ArrayList<>();
    for (int i = 0; i < results.size(); i++) {
      MoveResult result = results.get(i);
      boolean asExpected =
          kind.isBad()
              ? !result.faultShown() || result.isRolledBack()
              : result.isDone() && result.beforeDeadline();
      if (!asExpected) {
        unexpected.add(
            String.format(
                Locale.ROOT,
                "%s, %s, move %d (%s): %s",
                parameterName(kind),
                parameterName(condition),
                i,
                ServiceProfile.all().get(i % ServiceProfile.all().size()).service(),
                result
                    .outcome()
                    .map(outcome -> outcome.result() + ", " + outcome.reason())
                    .orElse("no outcome")));
      }
    }
    return unexpected;
  }

  private static <E extends Enum<E>> List<E> select(E[] values, String name) {
    return Arrays.stream(values)
        .filter(value -> name.equals(ALL) || parameterName(value).equals(name))
        .toList();
  }

  private static String parameterName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
