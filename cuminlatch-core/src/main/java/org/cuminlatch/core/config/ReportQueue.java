package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Queue of reports that one instance appends to the stream of reports, each once and at a bounded
 * rate.
 *
 * <p>Every instance creates the same reports. The instance of rank 0 appends them; those of higher
 * rank wait and then first check which reports are already on the stream. A report whose id was
 * added before is ignored. Reports that do not fit in the queue are dropped, and their number is
 * reported.
 */
public final class ReportQueue {

  private static final int MAX_REMEMBERED_IDS = 4_096;

  private final ReportPolicy policy;
  private final Map<String, Report> pending = new LinkedHashMap<>();
  private final Set<String> appendedIds = new LinkedHashSet<>();
  private Instant earliestAppend = Instant.MIN;
  private boolean streamChecked;
  private long dropped;

  /**
   * Creates an empty queue.
   *
   * @param policy how often reports are appended
   */
  public ReportQueue(ReportPolicy policy) {
    this.policy = notNull(policy, "policy");
  }

  /** Next action of the queue's owner. */
  public enum Action {
    /** Do nothing. */
    WAIT,
    /** Read the end of the stream of reports and pass the ids found to {@link #onFoundOnStream}. */
    CHECK_STREAM,
    /** Append {@link #batch}, then call {@link #onAppended} or {@link #onFailure}. */
    APPEND
  }

  /**
   * Adds a report unless one with the same id has been added before.
   *
   * @param report the report
   */
  public void add(Report report) {
    if (appendedIds.contains(report.id()) || pending.containsKey(report.id())) {
      return;
    }
    if (pending.size() >= policy.maxPending()) {
      dropped++;
      return;
    }
    pending.put(report.id(), report);
  }

  /**
   * Decides on the next action.
   *
   * @param rank rank of this instance among the live members, starting at 0
   * @param now the current time
   * @return the action
   */
  public Action next(int rank, Instant now) {
    if (rank > policy.maxRank()) {
      removeOlderThan(now.minus(appendDelay(policy.maxRank() + 1)));
      return Action.WAIT;
    }
    boolean due = !pending.isEmpty() && !now.isBefore(oldest().plus(appendDelay(rank)));
    if (!due || now.isBefore(earliestAppend)) {
      return Action.WAIT;
    }
    return rank > 0 && !streamChecked ? Action.CHECK_STREAM : Action.APPEND;
  }

  /**
   * Returns the reports to append in one batch.
   *
   * @param now the current time
   * @return the oldest pending reports, followed by a report on the number of dropped ones, if any
   */
  public List<Report> batch(Instant now) {
    List<Report> batch = new ArrayList<>();
    pending.values().stream().limit(policy.maxBatch()).forEach(batch::add);
    if (dropped > 0) {
      String text = dropped + " reports were dropped because too many waited";
      String id = "dropped/" + now.toEpochMilli();
      batch.add(new Report(id, Report.Kind.DROPPED, 0, "reports", text, now));
    }
    return batch;
  }

  /**
   * Handles the successful append of a batch.
   *
   * @param batch the reports
   * @param now the current time
   */
  public void onAppended(Collection<Report> batch, Instant now) {
    onFoundOnStream(batch.stream().map(Report::id).toList());
    dropped = 0;
    streamChecked = false;
    earliestAppend = now.plus(policy.minInterval());
  }

  /**
   * Handles a failure to read or append the stream; the reports remain pending.
   *
   * @param now the current time
   */
  public void onFailure(Instant now) {
    streamChecked = false;
    earliestAppend = now.plus(policy.standByDelay());
  }

  /**
   * Handles the ids of reports found on the stream.
   *
   * @param ids the ids
   */
  public void onFoundOnStream(Collection<String> ids) {
    for (String id : ids) {
      pending.remove(id);
      appendedIds.add(id);
    }
    while (appendedIds.size() > MAX_REMEMBERED_IDS) {
      appendedIds.remove(appendedIds.iterator().next());
    }
    streamChecked = true;
  }

  /**
   * Returns the number of pending reports.
   *
   * @return the number of reports
   */
  public int pending() {
    return pending.size();
  }

  private Duration appendDelay(int rank) {
    return policy.standByDelay().multipliedBy(rank);
  }

  private Instant oldest() {
    return pending.values().iterator().next().at();
  }

  private void removeOlderThan(Instant limit) {
    pending.values().removeIf(report -> report.at().isBefore(limit));
  }
}
