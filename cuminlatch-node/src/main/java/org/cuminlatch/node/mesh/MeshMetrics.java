package org.cuminlatch.node.mesh;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.time.Duration;
import java.util.Locale;

/** Counters and histograms of a node, as text for the metrics address; see docs/METRICS.md. */
public final class MeshMetrics {

  private static final double NANOS_PER_SECOND = 1e9;

  private final MetricRegistry registry = new MetricRegistry();

  void rejected(int status) {
    registry.counter("calls_rejected{status=\"" + status + "\"}").inc();
  }

  void refused(String reason) {
    registry.counter("calls_refused{reason=\"" + reason + "\"}").inc();
  }

  void failed(String reason) {
    registry.counter("calls_failed{reason=\"" + reason + "\"}").inc();
  }

  void endedEarly() {
    registry.counter("calls_ended_early").inc();
  }

  void repeated(String service) {
    registry.counter("attempts_repeated{service=\"" + service + "\"}").inc();
  }

  void answered(String route, int status, Duration took) {
    registry.counter("calls_answered{class=\"" + status / 100 + "xx\"}").inc();
    registry.timer("call_seconds{route=\"" + route + "\"}").update(took);
  }

  /**
   * Counts a call to the store.
   *
   * @param call kind of the call
   * @param outcome how it ended
   * @param took time from its start to its end
   */
  public void storeCall(String call, String outcome, Duration took) {
    registry.counter("store_calls{call=\"" + call + "\",outcome=\"" + outcome + "\"}").inc();
    registry.timer("store_call_seconds{call=\"" + call + "\"}").update(took);
  }

  /** Returns the registry for gauges of the parts of the node. */
  MetricRegistry registry() {
    return registry;
  }

  /** Returns all metrics as lines of name and value. */
  String text() {
    StringBuilder text = new StringBuilder();
    registry.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
    registry
        .getGauges()
        .forEach((name, gauge) -> line(text, name, ((Number) gauge.getValue()).doubleValue()));
    registry
        .getTimers()
        .forEach(
            (name, timer) -> {
              Snapshot snapshot = timer.getSnapshot();
              line(text, suffixed(name, "_count"), timer.getCount());
              line(text, suffixed(name, "_p50"), snapshot.getMedian() / NANOS_PER_SECOND);
              line(text, suffixed(name, "_p99"), snapshot.get99thPercentile() / NANOS_PER_SECOND);
            });
    return text.toString();
  }

  private static String suffixed(String name, String suffix) {
    int labels = name.indexOf('{');
    return labels < 0 ? name + suffix : name.substring(0, labels) + suffix + name.substring(labels);
  }

  private static void line(StringBuilder text, String name, double value) {
    text.append("cuminlatch_").append(name).append(' ');
    text.append(String.format(Locale.ROOT, "%.6g", value)).append('\n');
  }
}
