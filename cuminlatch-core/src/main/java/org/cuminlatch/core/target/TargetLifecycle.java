package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Optional;

/**
 * Lifecycle of the local target over successive starts, derived from the target's reports.
 *
 * <p>Reports may arrive late. A report with an earlier start time or a lower sequence number than
 * the last one has no effect. Once a start of a target has reported that it leaves, it never
 * accepts requests again. Not thread-safe.
 */
public final class TargetLifecycle {

  private Optional<TargetReport> latest = Optional.empty();
  private Optional<TargetExit> exit = Optional.empty();

  /**
   * Restores an exit that was stored before the start of this process.
   *
   * @param stored the stored exit
   */
  public void restore(TargetExit stored) {
    notNull(stored, "stored");
    if (exit.isEmpty() || stored.bornMillis() > exit.get().bornMillis()) {
      setExit(stored);
    }
  }

  /**
   * Applies a report of the target.
   *
   * @param report the report
   * @return the change that it causes
   */
  public Change report(TargetReport report) {
    notNull(report, "report");
    if (isStale(report)) {
      return Change.STALE;
    }
    if (hasLeft(report.instance(), report.bornMillis()) && report.ready()) {
      return Change.LEFT_BEFORE;
    }
    boolean unchanged = latest.map(previous -> hasSameDescription(previous, report)).orElse(false);
    latest = Optional.of(report);
    if (!report.ready()) {
      return leave(new TargetExit(report.instance(), report.bornMillis()));
    }
    return unchanged ? Change.NONE : Change.READY;
  }

  /**
   * Applies a deregistration by the target.
   *
   * @param instance name of the target's instance
   * @param bornMillis start time of the target in milliseconds since 1970; 0 if not known
   * @return the change that it causes
   */
  public Change deregister(String instance, long bornMillis) {
    long born = bornMillis == 0 ? lastBornMillis(instance) : bornMillis;
    boolean isLatest =
        latest
            .filter(report -> report.instance().equals(instance) && report.bornMillis() == born)
            .isPresent();
    boolean beforeLatest =
        !isLatest && latest.filter(report -> born <= report.bornMillis()).isPresent();
    boolean beforeExit = born != 0 && exit.filter(last -> born < last.bornMillis()).isPresent();
    if (beforeLatest || beforeExit) {
      return Change.STALE;
    }
    return leave(new TargetExit(instance, born));
  }

  /**
   * Returns the last report that took effect.
   *
   * @return the report; empty before the first one
   */
  public Optional<TargetReport> latest() {
    return latest;
  }

  /**
   * Returns the last exit.
   *
   * @return the exit; empty if no start of the target is known to have left
   */
  public Optional<TargetExit> exit() {
    return exit;
  }

  /**
   * Returns whether the local target accepts requests.
   *
   * @return true if its last report states that it is ready and it has not left
   */
  public boolean takesRequests() {
    return latest
        .filter(TargetReport::ready)
        .filter(report -> !hasLeft(report.instance(), report.bornMillis()))
        .isPresent();
  }

  /** Returns the last known start of an instance, 0 if there is none. */
  private long lastBornMillis(String instance) {
    return latest
        .filter(report -> report.instance().equals(instance))
        .map(TargetReport::bornMillis)
        .or(() -> exit.filter(last -> last.instance().equals(instance)).map(TargetExit::bornMillis))
        .orElse(0L);
  }

  private Change leave(TargetExit newExit) {
    if (exit.isPresent() && exit.get().equals(newExit)) {
      return Change.NONE;
    }
    setExit(newExit);
    return Change.LEAVES;
  }

  /** Sets the last exit; an earlier start has ended if a later one has left. */
  private void setExit(TargetExit newExit) {
    exit = Optional.of(newExit);
    latest = latest.filter(report -> report.bornMillis() >= newExit.bornMillis());
  }

  private boolean isStale(TargetReport report) {
    if (latest.isEmpty()) {
      return exit.isPresent() && report.bornMillis() < exit.get().bornMillis();
    }
    TargetReport previous = latest.get();
    if (report.bornMillis() != previous.bornMillis()) {
      return report.bornMillis() < previous.bornMillis();
    }
    return report.instance().equals(previous.instance())
        && report.sequence() <= previous.sequence();
  }

  private boolean hasLeft(String instance, long bornMillis) {
    return exit.isPresent()
        && exit.get().instance().equals(instance)
        && exit.get().bornMillis() == bornMillis;
  }

  private static boolean hasSameDescription(TargetReport one, TargetReport other) {
    return one.isOfSameStart(other)
        && one.version().equals(other.version())
        && one.slots() == other.slots()
        && one.ready() == other.ready();
  }

  /** Change that a report causes. */
  public enum Change {
    /** No change except for the sequence number of the last report. */
    NONE,
    /** A target that accepts requests is new, or its description has changed. */
    READY,
    /** The target accepts no new requests from now on. */
    LEAVES,
    /** The report is older than the current state. */
    STALE,
    /** The report states that a start of the target is ready although that start has left. */
    LEFT_BEFORE
  }
}
