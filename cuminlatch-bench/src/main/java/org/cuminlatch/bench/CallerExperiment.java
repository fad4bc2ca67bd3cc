package org.cuminlatch.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cuminlatch.testkit.load.LoadGenerator;
import org.cuminlatch.testkit.load.LoadOptions;
import org.cuminlatch.testkit.load.LoadSummary;
import org.cuminlatch.testkit.target.Target;
import org.cuminlatch.testkit.target.TargetOptions;

/** Latency that callers see when they call a stand-in target without any node between. */
final class CallerExperiment implements Experiment {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int SLOTS = 1_000;

  @Override
  public String name() {
    return "caller-baseline";
  }

  @Override
  public String summary() {
    return "latency of the load generator and a target with no node between";
  }

  @Override
  public Results run(ExperimentOptions options) {
    long serviceMillis = options.longValue("serviceMillis", 1);
    Duration length = Duration.ofSeconds(options.longValue("seconds", 3));
    TargetOptions target =
        new TargetOptions(0, SLOTS, Duration.ofMillis(serviceMillis), Duration.ZERO, "v1");
    List<List<String>> rows = new ArrayList<>();
    try (Target running = Target.start(target)) {
      measure(running, 100, length, options.seed());
      for (int rate : new int[] {100, 500, 1_000, 2_000}) {
        LoadSummary seen = measure(running, rate, length, options.seed());
        rows.add(
            List.of(
                Integer.toString(rate),
                Long.toString(seen.ok()),
                Long.toString(seen.sent() - seen.ok()),
                Long.toString(seen.p50Micros()),
                Long.toString(seen.p99Micros())));
      }
    }
    return new Results(
        "Callers and a target with no node between",
        List.of("calls/s", "ok", "not ok", "p50 us", "p99 us"),
        rows,
        List.of("service time " + serviceMillis + " ms, first load of each run not counted"));
  }

  private static LoadSummary measure(Target target, int rate, Duration length, long seed) {
    return LoadSummary.of(
        LoadGenerator.run(
            new LoadOptions(
                List.of("127.0.0.1:" + target.port()),
                List.of("/"),
                rate,
                length,
                TIMEOUT,
                0.5,
                100,
                "bench-" + rate,
                seed)));
  }
}
