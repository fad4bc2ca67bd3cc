package org.cuminlatch.node.operator;

import static org.cuminlatch.core.Preconditions.notNull;

import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.route.RoutingDecision;
import org.cuminlatch.node.call.CallPath;
import org.cuminlatch.node.control.ControlPlane;

/** Creates the operator pages of a node and assigns them to paths. */
public final class NodePages {

  private final ControlPlane control;
  private final CallPath calls;
  private final MetricRegistry metrics;
  private final Runnable drain;

  private NodePages(ControlPlane control, CallPath calls, MetricRegistry metrics, Runnable drain) {
    this.control = control;
    this.calls = calls;
    this.metrics = metrics;
    this.drain = drain;
  }

  /**
   * Creates the pages.
   *
   * @param control control plane of the node
   * @param calls call path of the node
   * @param metrics metrics of the node
   * @param drain starts draining the node
   * @return the pages by path
   */
  public static Map<String, OperatorPage> of(
      ControlPlane control, CallPath calls, MetricRegistry metrics, Runnable drain) {
    NodePages pages =
        new NodePages(
            notNull(control, "control"),
            notNull(calls, "calls"),
            notNull(metrics, "metrics"),
            notNull(drain, "drain"));
    return pages.byPath();
  }

  private Map<String, OperatorPage> byPath() {
    return Map.of(
        "/health", OperatorPage.get(query -> health()),
        "/status", OperatorPage.get(query -> status()),
        "/members", OperatorPage.get(query -> control.members().members()),
        "/versions", OperatorPage.get(query -> versions()),
        "/routes", OperatorPage.get(query -> routes()),
        "/moves", OperatorPage.get(query -> moves()),
        "/refusals", OperatorPage.get(query -> control.refusals()),
        "/explain", OperatorPage.get(this::explain),
        "/metrics", OperatorPage.get(query -> metricValues()),
        "/drain", OperatorPage.post(query -> beginDrain()));
  }

  private Object health() {
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("ready", control.readiness().isReady());
    page.put("reason", control.readiness().reason());
    return page;
  }

  private Object status() {
    Member self = control.self();
    Snapshot snapshot = control.snapshot();
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("instance", self.instance());
    page.put("locality", self.locality());
    page.put("service", self.service());
    page.put("targetVersion", self.targetVersion());
    page.put("phase", self.phase());
    page.put("ready", control.readiness().isReady());
    page.put("reason", control.readiness().reason());
    page.put("configVersion", snapshot.version());
    page.put("stateHash", snapshot.stateHash());
    page.put("floor", control.floorVersion());
    page.put("members", control.members().members().size());
    return page;
  }

  private Object versions() {
    return control.members().members().stream()
        .collect(
            Collectors.toMap(Member::instance, Member::configVersion, Math::max, TreeMap::new));
  }

  private Object routes() {
    Snapshot snapshot = control.snapshot();
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("version", snapshot.version());
    page.put("routes", new TreeMap<>(snapshot.routes()));
    page.put("services", new TreeMap<>(snapshot.services()));
    page.put("resources", new TreeMap<>(snapshot.resources()));
    return page;
  }

  private Object moves() {
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("version", control.snapshot().version());
    page.put("moves", new TreeMap<>(control.snapshot().moves()));
    page.put("progress", control.moves().progress());
    return page;
  }

  private RoutingDecision explain(Map<String, String> query) {
    Map<String, String> headers =
        query.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith("header."))
            .collect(
                Collectors.toMap(
                    entry -> entry.getKey().substring("header.".length()), Map.Entry::getValue));
    return calls.explain(
        query.getOrDefault("host", ""),
        query.getOrDefault("path", "/"),
        query.getOrDefault("method", "GET"),
        headers);
  }

  private Object metricValues() {
    Map<String, Object> page = new TreeMap<>();
    metrics.getGauges().forEach((name, gauge) -> page.put(name, gauge.getValue()));
    metrics.getCounters().forEach((name, counter) -> page.put(name, counter.getCount()));
    metrics.getMeters().forEach((name, meter) -> page.put(name, meter.getCount()));
    metrics
        .getHistograms()
        .forEach((name, values) -> page.put(name, values.getSnapshot().getMean()));
    metrics.getTimers().forEach((name, timer) -> page.put(name, TimerStatistics.of(timer)));
    return page;
  }

  private Object beginDrain() {
    drain.run();
    return Map.of("phase", "DRAINING");
  }
}
