package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Optional;

/**
 * Orders the reports of the targets that run one after the other beside a node.
 *
 * <p>Reports may be late: one with an earlier start or a lower number than the last one changes
 * nothing, and a start of a target that has said that it leaves never takes requests again. Not
 * safe for use by many threads.
 */
public final class TargetLife {

  private Optional<TargetReport> latest = Optional.empty();
  private Optional<TargetExit> exit = Optional.empty();

  /**
   * Takes an exit that is remembered from before the start of this process.
   *
   * @param remembered the exit
   */
  public void restore(TargetExit remembered) {
    notNull(remembered, "remembered");
    if (exit.isEmpty() || remembered.bornMillis() > exit.get().bornMillis()) {
      exit = Optional.of(remembered);
    }
  }

  /**
   * Takes a report.
   *
   * @param report the report
   * @return what it changes
   */
  public Change report(TargetReport report) {
    notNull(report, "report");
    if (isStale(report)) {
      return Change.STALE;
    }
    if (hasLeft(report.instance(), report.bornMillis()) && report.ready()) {
      return Change.LEFT_BEFORE;
    }
    boolean same = latest.map(known -> describesSame(known, report)).orElse(false);
    latest = Optional.of(report);
    if (!report.ready()) {
      return leave(new TargetExit(report.instance(), report.bornMillis()));
    }
    return same ? Change.NONE : Change.READY;
  }

  /**
   * Takes a target's word that it is gone.
   *
   * @param instance name of the target
   * @param bornMillis its start, 0 if it names none
   * @return what it changes
   */
  public Change deregister(String instance, long bornMillis) {
    boolean known = latest.map(report -> report.instance().equals(instance)).orElse(false);
    if (known && bornMillis != 0 && bornMillis < latest.get().bornMillis()) {
      return Change.STALE;
    }
    long born = bornMillis == 0 && known ? latest.get().bornMillis() : bornMillis;
    if (!known && latest.isPresent()) {
      return Change.STALE;
    }
    return leave(new TargetExit(instance, born));
  }

  /**
   * Returns the last report that counted.
   *
   * @return the report, empty before the first one
   */
  public Optional<TargetReport> latest() {
    return latest;
  }

  /**
   * Returns whether the target beside the node may be given requests.
   *
   * @return true if its last report says so and it has not left
   */
  public boolean takesRequests() {
    return latest
        .filter(TargetReport::ready)
        .filter(report -> !hasLeft(report.instance(), report.bornMillis()))
        .isPresent();
  }

  private Change leave(TargetExit leaving) {
    if (exit.isPresent() && exit.get().equals(leaving)) {
      return Change.NONE;
    }
    exit = Optional.of(leaving);
    return Change.LEAVES;
  }

  private boolean isStale(TargetReport report) {
    if (latest.isEmpty()) {
      return exit.isPresent() && report.bornMillis() < exit.get().bornMillis();
    }
    TargetReport known = latest.get();
    if (report.bornMillis() != known.bornMillis()) {
      return report.bornMillis() < known.bornMillis();
    }
    return report.instance().equals(known.instance()) && report.sequence() <= known.sequence();
  }

  private boolean hasLeft(String instance, long bornMillis) {
    return exit.isPresent()
        && exit.get().instance().equals(instance)
        && exit.get().bornMillis() == bornMillis;
  }

  private static boolean describesSame(TargetReport one, TargetReport other) {
    return one.isOfSameStart(other)
        && one.version().equals(other.version())
        && one.slots() == other.slots()
        && one.ready() == other.ready();
  }

  /** What a report changes. */
  public enum Change {
    /** Nothing but the number of the last report. */
    NONE,
    /** A target that takes requests is new or described anew. */
    READY,
    /** The target takes no new requests from now on. */
    LEAVES,
    /** The report is older than what is known. */
    STALE,
    /** It says ready for a start of the target that has left. */
    LEFT_BEFORE
  }
}
