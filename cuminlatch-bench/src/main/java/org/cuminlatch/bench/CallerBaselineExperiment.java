package org.cuminlatch.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cuminlatch.testkit.load.LoadGenerator;
import org.cuminlatch.testkit.load.LoadOptions;
import org.cuminlatch.testkit.load.LoadSummary;
import org.cuminlatch.testkit.target.Target;
import org.cuminlatch.testkit.target.TargetOptions;

/** Measures the latency of the load generator calling a stand-in target directly, without nodes. */
final class CallerBaselineExperiment implements Experiment {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
  private static final int TARGET_SLOTS = 1_000;

  @Override
  public String name() {
    return "caller-baseline";
  }

  @Override
  public String summary() {
    return "latency of the load generator calling a target directly, without nodes";
  }

  @Override
  public Results run(ExperimentOptions options) {
    long serviceMillis = options.longValue("serviceMillis", 1);
    Duration length = Duration.ofSeconds(options.longValue("seconds", 3));
    TargetOptions target =
        new TargetOptions(0, TARGET_SLOTS, Duration.ofMillis(serviceMillis), Duration.ZERO, "v1");
    List<List<String>> rows = new ArrayList<>();
    try (Target running = Target.start(target)) {
      measure(running, 100, length, options.seed());
      for (int rate : new int[] {100, 500, 1_000, 2_000}) {
        LoadSummary loadSummary = measure(running, rate, length, options.seed());
        rows.add(
            List.of(
                Integer.toString(rate),
                Long.toString(loadSummary.ok()),
                Long.toString(loadSummary.sent() - loadSummary.ok()),
                Long.toString(loadSummary.p50Micros()),
                Long.toString(loadSummary.p99Micros())));
      }
    }
    return new Results(
        "Callers and a target with no node between",
        List.of("calls/s", "ok", "not ok", "p50 us", "p99 us"),
        rows,
        List.of(
            "service time "
                + serviceMillis
                + " ms, the first load of each run is a warm-up and not counted"));
  }

  private static LoadSummary measure(Target target, int rate, Duration length, long seed) {
    return LoadSummary.of(
        LoadGenerator.run(
            new LoadOptions(
                List.of("127.0.0.1:" + target.port()),
                List.of("/"),
                rate,
                length,
                CALL_TIMEOUT,
                0.5,
                100,
                "bench-" + rate,
                seed)));
  }
}
