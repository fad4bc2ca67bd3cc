package org.cuminlatch.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.StreamSupport;

/**
 * Computes the rows of the demo's table from the reports of the observer and the load generators.
 */
final class DemoReport {

  private static final long MAX_CONVERGENCE_MILLIS = 15_000;
  private static final double MAX_BAD_VERSION_SHARE = 0.05;

  private final JsonNode observer;
  private final JsonNode movesLoad;
  private final JsonNode drainLoad;
  private final DemoMeasurements measurements;

  DemoReport(
      JsonNode observer, JsonNode movesLoad, JsonNode drainLoad, DemoMeasurements measurements) {
    this.observer = observer;
    this.movesLoad = movesLoad;
    this.drainLoad = drainLoad;
    this.measurements = measurements;
  }

  List<GuaranteeRow> rows() {
    List<GuaranteeRow> rows = new ArrayList<>();
    rows.add(
        observerRow(
            "no node goes back to an older configuration version", "reverted from version"));
    rows.add(
        observerRow("no route points at a resource its node does not hold", "service is missing"));
    rows.add(
        observerRow(
            "a version is in force as a whole, the same on all nodes",
            "different state at the same version"));
    rows.add(convergenceRow());
    rows.add(auditRow("a caller gets the complete answer to its own request", "wrongAnswers"));
    rows.add(auditRow("a request answered \"not run\" was never executed", "falselyNotRun"));
    rows.add(auditRow("a request that may not be repeated runs at most once", "repeated"));
    rows.add(badVersionShareRow());
    rows.add(callsAfterRollbackRow());
    rows.add(drainRow());
    rows.add(plannedStopRow());
    rows.add(moveOutcomesRow());
    return rows;
  }

  private GuaranteeRow observerRow(String guarantee, String violation) {
    long violations =
        StreamSupport.stream(observer.path("violations").spliterator(), false)
            .filter(line -> line.asText().contains(violation))
            .count();
    return new GuaranteeRow(guarantee, observer.path("samples").asLong(), violations, "");
  }

  private GuaranteeRow convergenceRow() {
    List<Long> millis =
        StreamSupport.stream(observer.path("convergenceMillis").spliterator(), false)
            .map(JsonNode::asLong)
            .sorted()
            .toList();
    long late = millis.stream().filter(value -> value > MAX_CONVERGENCE_MILLIS).count();
    long unsettled = observer.path("unsettledVersions").asLong();
    String remark = millis.isEmpty() ? "" : "slowest " + millis.get(millis.size() - 1) + " ms";
    return new GuaranteeRow(
        "an accepted configuration is in force everywhere within seconds",
        millis.size() + unsettled,
        late + unsettled,
        remark);
  }

  private GuaranteeRow auditRow(String guarantee, String auditField) {
    long checks = checked(movesLoad) + checked(drainLoad);
    long violations = sizeOf(movesLoad, auditField) + sizeOf(drainLoad, auditField);
    return new GuaranteeRow(guarantee, checks, violations, "");
  }

  private static long checked(JsonNode load) {
    return load.path("audit").path("checked").asLong();
  }

  private static long sizeOf(JsonNode load, String auditField) {
    return load.path("audit").path(auditField).size();
  }

  /** The load generator sends half of the calls to the service whose new version is bad. */
  private GuaranteeRow badVersionShareRow() {
    long calls = movesLoad.path("summary").path("sent").asLong() / 2;
    double share = calls == 0 ? 0 : (double) measurements.badCallsAtOutcome() / calls;
    String remark =
        "%d of %d calls, %.2f %%".formatted(measurements.badCallsAtOutcome(), calls, 100 * share);
    return new GuaranteeRow(
        "a bad version gets only a small share of the calls",
        calls,
        share > MAX_BAD_VERSION_SHARE ? 1 : 0,
        remark);
  }

  private GuaranteeRow callsAfterRollbackRow() {
    long late = measurements.badCallsLater() - measurements.badCallsAtOutcome();
    return new GuaranteeRow(
        "a rolled-back version gets no more calls", 1, late, late + " calls after the outcome");
  }

  private GuaranteeRow drainRow() {
    long late = measurements.runsAtEnd() - measurements.runsAfterDrain();
    return new GuaranteeRow(
        "a draining target gets no new calls after a few seconds",
        1,
        late,
        late + " executions after 3 s");
  }

  private GuaranteeRow plannedStopRow() {
    JsonNode summary = drainLoad.path("summary");
    long interrupted = summary.path("unknown").asLong() + summary.path("other").asLong();
    return new GuaranteeRow(
        "a planned stop interrupts no request", summary.path("sent").asLong(), interrupted, "");
  }

  private GuaranteeRow moveOutcomesRow() {
    long wrong = (measurements.goodIsDone() ? 0 : 1) + (measurements.badIsRolledBack() ? 0 : 1);
    return new GuaranteeRow(
        "each move ends with the expected outcome", 2, wrong, measurements.outcomes());
  }
}
