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
 * Reports that wait to be appended: at a bounded rate, each once, by one instance.
 *
 * <p>Every instance finds out the same. The first in rank appends; the next ones wait and first
 * look whether the reports stand on the stream already. Reports of one id are kept once; of those
 * that do not fit, the number is reported.
 */
public final class ReportQueue {

  private static final int REMEMBERED_IDS = 4_096;

  private final ReportPolicy policy;
  private final Map<String, Report> pending = new LinkedHashMap<>();
  private final Set<String> settled = new LinkedHashSet<>();
  private Instant notBefore = Instant.MIN;
  private boolean looked;
  private long dropped;

  /**
   * Creates an empty queue.
   *
   * @param policy how often reports are appended
   */
  public ReportQueue(ReportPolicy policy) {
    this.policy = notNull(policy, "policy");
  }

  /** What to do next. */
  public enum Action {
    /** Nothing. */
    WAIT,
    /** Read the end of the reports' stream and give the ids found to {@link #onSeen}. */
    LOOK,
    /** Append {@link #batch} and tell how it ended. */
    APPEND
  }

  /**
   * Adds a report unless one of its id has been added before.
   *
   * @param report the report
   */
  public void add(Report report) {
    if (settled.contains(report.id()) || pending.containsKey(report.id())) {
      return;
    }
    if (pending.size() >= policy.maxPending()) {
      dropped++;
      return;
    }
    pending.put(report.id(), report);
  }

  /**
   * Decides what to do.
   *
   * @param rank place of this instance among the live members, from 0
   * @param now the time
   * @return the action
   */
  public Action next(int rank, Instant now) {
    if (rank > policy.maxRank()) {
      forgetOlderThan(now.minus(patience(policy.maxRank() + 1)));
      return Action.WAIT;
    }
    boolean due = !pending.isEmpty() && !now.isBefore(oldest().plus(patience(rank)));
    if (!due || now.isBefore(notBefore)) {
      return Action.WAIT;
    }
    return rank > 0 && !looked ? Action.LOOK : Action.APPEND;
  }

  /**
   * Returns the reports to append together.
   *
   * @param now the time
   * @return the oldest reports that wait, the number of dropped ones among them
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
   * Takes that a batch stands on the stream.
   *
   * @param batch the reports
   * @param now the time
   */
  public void onAppended(Collection<Report> batch, Instant now) {
    onSeen(batch.stream().map(Report::id).toList());
    dropped = 0;
    looked = false;
    notBefore = now.plus(policy.minInterval());
  }

  /**
   * Takes that the stream or its log failed; the reports wait on.
   *
   * @param now the time
   */
  public void onFailure(Instant now) {
    looked = false;
    notBefore = now.plus(policy.standByDelay());
  }

  /**
   * Takes ids of reports that stand on the stream.
   *
   * @param ids the ids
   */
  public void onSeen(Collection<String> ids) {
    for (String id : ids) {
      pending.remove(id);
      settled.add(id);
    }
    while (settled.size() > REMEMBERED_IDS) {
      settled.remove(settled.iterator().next());
    }
    looked = true;
  }

  /**
   * Returns how many reports wait.
   *
   * @return their number
   */
  public int pending() {
    return pending.size();
  }

  private Duration patience(int rank) {
    return policy.standByDelay().multipliedBy(rank);
  }

  private Instant oldest() {
    return pending.values().iterator().next().at();
  }

  private void forgetOlderThan(Instant limit) {
    pending.values().removeIf(report -> report.at().isBefore(limit));
  }
}
