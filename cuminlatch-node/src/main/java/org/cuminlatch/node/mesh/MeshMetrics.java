package org.cuminlatch.node.mesh;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.time.Duration;
import java.util.Locale;
import org.cuminlatch.node.http.ServerLimit;
import org.cuminlatch.node.http.UnsolicitedBytes;

/** Counters and timers of a node, rendered as text for the metrics address; see docs/METRICS.md. */
public final class MeshMetrics {

  private static final double NANOS_PER_SECOND = 1e9;

  private final MetricRegistry registry = new MetricRegistry();

  void countLimit(ServerLimit limit) {
    registry.counter("clients_limited{limit=\"" + limit.label() + "\"}").inc();
  }

  void countRejected(int status) {
    registry.counter("calls_rejected{status=\"" + status + "\"}").inc();
  }

  void countRefused(String reason) {
    registry.counter("calls_refused{reason=\"" + reason + "\"}").inc();
  }

  void countFailed(String reason) {
    registry.counter("calls_failed{reason=\"" + reason + "\"}").inc();
  }

  void countAbandoned() {
    registry.counter("calls_abandoned").inc();
  }

  void countEndedEarly() {
    registry.counter("calls_ended_early").inc();
  }

  void countDispatched(boolean retried) {
    registry.counter("attempts_dispatched{retried=\"" + retried + "\"}").inc();
  }

  void countGateRefusal(String reason, boolean nested) {
    String origin = nested ? "target" : "client";
    registry.counter("gate_refusals{origin=\"" + origin + "\",reason=\"" + reason + "\"}").inc();
  }

  void countOverShare(String account) {
    registry.counter("attempts_over_share{account=\"" + account + "\"}").inc();
  }

  void countDisplaced() {
    registry.counter("attempts_displaced").inc();
  }

  void countWithdrawn(boolean running) {
    String state = running ? "running" : "waiting";
    registry.counter("attempts_withdrawn{state=\"" + state + "\"}").inc();
  }

  /** Counts the end of a request whose body was sent in parts, by how much of it was sent. */
  void countUpload(String sent) {
    registry.counter("uploads{sent=\"" + sent + "\"}").inc();
  }

  void countUploadBytes(int bytes) {
    registry.counter("upload_bytes").inc(bytes);
  }

  /** Counts a response of the target that came before the end of the request's body. */
  void countAnsweredEarly() {
    registry.counter("uploads_answered_early").inc();
  }

  void countEvacuated() {
    registry.counter("attempts_refused_evacuated").inc();
  }

  void countTargetCheck(String outcome) {
    registry.counter("target_checks{outcome=\"" + outcome + "\"}").inc();
  }

  void countRefusedCold() {
    registry.counter("attempts_refused_cold").inc();
  }

  void countStartup(String outcome) {
    registry.counter("startup_requests{outcome=\"" + outcome + "\"}").inc();
  }

  void countRepeated(String service) {
    registry.counter("attempts_repeated{service=\"" + service + "\"}").inc();
  }

  /** Counts a question to other nodes or the store after the validity of keys. */
  void countInquiry(String source) {
    registry.counter("key_inquiries{source=\"" + source + "\"}").inc();
  }

  void countOverQuota(String account) {
    registry.counter("calls_over_quota{account=\"" + account + "\"}").inc();
  }

  /** Counts tokens of quotas that this node has granted to nodes, itself included. */
  void countQuotaTokens(long tokens) {
    registry.counter("quota_tokens_granted").inc(tokens);
  }

  void recordAnswer(String route, int status, Duration took) {
    registry.counter("calls_answered{class=\"" + status / 100 + "xx\"}").inc();
    registry.timer("call_seconds{route=\"" + route + "\"}").update(took);
  }

  /**
   * Counts an occurrence of bytes that were received without a request for them.
   *
   * @param server kind of the server that sent them
   * @param position where they were found
   */
  public void countUnsolicitedBytes(String server, UnsolicitedBytes.Position position) {
    String label = position.name().toLowerCase(Locale.ROOT);
    registry.counter("unsolicited_bytes{from=\"" + server + "\",position=\"" + label + "\"}").inc();
  }

  /**
   * Counts a response with an invalid status.
   *
   * @param server kind of the server that sent it
   */
  public void countInvalidStatus(String server) {
    registry.counter("invalid_statuses{from=\"" + server + "\"}").inc();
  }

  /**
   * Records a call to the store.
   *
   * @param call kind of the call
   * @param outcome outcome of the call
   * @param took time from the start of the call to its end
   */
  public void recordStoreCall(String call, String outcome, Duration took) {
    registry.counter("store_calls{call=\"" + call + "\",outcome=\"" + outcome + "\"}").inc();
    registry.timer("store_call_seconds{call=\"" + call + "\"}").update(took);
  }

  /** Returns the registry, to which parts of the node add their gauges. */
  MetricRegistry registry() {
    return registry;
  }

  /** Returns all metrics as lines of name and value. */
  String text() {
    StringBuilder text = new StringBuilder();
    registry.getCounters().forEach((name, counter) -> appendLine(text, name, counter.getCount()));
    registry
        .getGauges()
        .forEach(
            (name, gauge) -> appendLine(text, name, ((Number) gauge.getValue()).doubleValue()));
    registry
        .getTimers()
        .forEach(
            (name, timer) -> {
              Snapshot snapshot = timer.getSnapshot();
              appendLine(text, withSuffix(name, "_count"), timer.getCount());
              appendLine(text, withSuffix(name, "_p50"), snapshot.getMedian() / NANOS_PER_SECOND);
              appendLine(
                  text, withSuffix(name, "_p99"), snapshot.get99thPercentile() / NANOS_PER_SECOND);
            });
    return text.toString();
  }

  private static String withSuffix(String name, String suffix) {
    int labels = name.indexOf('{');
    return labels < 0 ? name + suffix : name.substring(0, labels) + suffix + name.substring(labels);
  }

  private static void appendLine(StringBuilder text, String name, double value) {
    text.append("cuminlatch_").append(name).append(' ');
    text.append(String.format(Locale.ROOT, "%.6g", value)).append('\n');
  }
}
