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
      exit = Optional.of(stored);
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
    boolean isLatest = latest.map(report -> report.instance().equals(instance)).orElse(false);
    if (isLatest && bornMillis != 0 && bornMillis < latest.get().bornMillis()) {
      return Change.STALE;
    }
    long born = bornMillis == 0 && isLatest ? latest.get().bornMillis() : bornMillis;
    if (!isLatest && latest.isPresent()) {
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

  private Change leave(TargetExit newExit) {
    if (exit.isPresent() && exit.get().equals(newExit)) {
      return Change.NONE;
    }
    exit = Optional.of(newExit);
    return Change.LEAVES;
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
