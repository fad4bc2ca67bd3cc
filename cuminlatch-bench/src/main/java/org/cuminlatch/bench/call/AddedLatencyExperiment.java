package org.cuminlatch.bench.call;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicReference;
import org.cuminlatch.bench.Experiment;
import org.cuminlatch.bench.ExperimentOptions;
import org.cuminlatch.bench.Results;
import org.cuminlatch.core.membership.Member;

/** Measures the latency that two nodes add to a call, compared with calling the target directly. */
public final class AddedLatencyExperiment implements Experiment {

  private static final List<Integer> CALLS_PER_SECOND = List.of(100, 500, 2000);
  private static final List<Double> PERCENTILES = List.of(50.0, 99.0, 99.9);
  private static final int WARM_UP_CALLS_PER_SECOND = 2000;
  private static final int SLOTS = 64;

  @Override
  public String name() {
    return "added-latency";
  }

  @Override
  public String summary() {
    return "latency that the call path adds at 100, 500 and 2,000 calls per second";
  }

  @Override
  public Results run(ExperimentOptions options) {
    int seconds = (int) options.longValue("seconds", 10);
    int warmUp = (int) options.longValue("warm-up-seconds", 8);
    AtomicReference<List<Member>> members = new AtomicReference<>(List.of());
    List<List<String>> rows = new ArrayList<>();
    try (ImmediateTarget target = new ImmediateTarget();
        BenchNode entry = new BenchNode("entry", target.uri(), SLOTS, members);
        BenchNode targetNode = new BenchNode("beside", target.uri(), SLOTS, members)) {
      members.set(List.of(targetNode.member()));
      List<URI> uris = List.of(target.uri().resolve("/stock"), entry.uri().resolve("/stock"));
      new ConstantRateLoad(uris).run(WARM_UP_CALLS_PER_SECOND, warmUp);
      for (int rate : CALLS_PER_SECOND) {
        rows.add(measure(uris, rate, seconds));
      }
    }
    return new Results(
        "Added latency in ms",
        List.of(
            "calls/s",
            "direct p50",
            "path p50",
            "added p50",
            "direct p99",
            "path p99",
            "added p99",
            "direct p99.9",
            "path p99.9",
            "added p99.9",
            "failures"),
        rows,
        List.of("direct calls and calls through two nodes alternate, each at the given rate"));
  }

  private static List<String> measure(List<URI> uris, int rate, int seconds) {
    ConstantRateLoad load = new ConstantRateLoad(uris);
    load.run(rate, seconds);
    List<String> row = new ArrayList<>();
    row.add(Integer.toString(rate));
    for (double percentile : PERCENTILES) {
      double direct = load.millis(0, percentile);
      double path = load.millis(1, percentile);
      row.add(millis(direct));
      row.add(millis(path));
      row.add(millis(path - direct));
    }
    row.add(Long.toString(load.failures()));
    return row;
  }

  private static String millis(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
