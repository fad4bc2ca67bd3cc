package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.cuminlatch.core.membership.Member;

/** Creates reports on verdicts, and on the convergence and divergence of the instances. */
public final class ReportWriter {

  private static final int MAX_AWAITED_VERSIONS = 256;

  private final ReportPolicy policy;
  private final ReportQueue queue;
  private final TreeMap<Long, Instant> awaitedVersions = new TreeMap<>();

  /**
   * Creates a writer.
   *
   * @param policy determines when convergence is reported
   * @param queue receives the reports
   */
  public ReportWriter(ReportPolicy policy, ReportQueue queue) {
    this.policy = notNull(policy, "policy");
    this.queue = notNull(queue, "queue");
  }

  /**
   * Handles an event of the fold.
   *
   * @param event the event
   * @param now the current time
   */
  public void onEvent(FoldEvent event, Instant now) {
    if (event instanceof FoldEvent.Decided decided) {
      onDecided(decided, now);
    } else if (event instanceof FoldEvent.Unreadable unreadable) {
      onUnreadable(unreadable, now);
    } else if (event instanceof FoldEvent.OffsetGap gap) {
      String text = "offset " + gap.expected() + " is missing, " + gap.found() + " came instead";
      add("gap/" + gap.expected(), Report.Kind.OFFSET_GAP, gap.expected(), "log", text, now);
    }
  }

  /**
   * Reports a checkpoint that could not be used.
   *
   * @param offset its offset on the stream of checkpoints
   * @param problem what is wrong with it
   * @param now the current time
   */
  public void onInvalidCheckpoint(long offset, String problem, Instant now) {
    String subject = "checkpoint at offset " + offset;
    add("checkpoint/" + offset, Report.Kind.INVALID_CHECKPOINT, 0, subject, problem, now);
  }

  /**
   * Compares the state of this instance with that of the other members.
   *
   * @param version configuration version in force on this instance
   * @param stateHash state hash of this instance
   * @param members all live members
   * @param now the current time
   */
  public void onMembers(long version, String stateHash, Collection<Member> members, Instant now) {
    String own = HashAbbreviation.of(stateHash);
    for (Member member : members) {
      String other = HashAbbreviation.of(member.stateHash());
      boolean differs = member.configVersion() == version && !other.isEmpty() && !other.equals(own);
      if (differs) {
        reportDivergence(version, own, other, member, now);
      }
    }
    reportInForce(members, now);
  }

  private void onDecided(FoldEvent.Decided decided, Instant now) {
    String subject = decided.resource().map(ResourceKey::toString).orElse("unreadable record");
    String record = decided.recordId().map(id -> "record " + id).orElse("record");
    long version = decided.offset() + 1;
    if (decided.isAccepted()) {
      add("verdict/" + decided.offset(), Report.Kind.ACCEPTED, version, subject, record, now);
      awaitInForce(version, now);
    } else {
      String text =
          record
              + ": "
              + decided
                  .refusal()
                  .map(refusal -> refusal.reason() + ", " + refusal.detail())
                  .orElseThrow();
      add("verdict/" + decided.offset(), Report.Kind.REFUSED, version, subject, text, now);
    }
  }

  private void onUnreadable(FoldEvent.Unreadable unreadable, Instant now) {
    long version = unreadable.status().version();
    String text =
        "version %d is unreadable to some instances, which keep version %d in force"
            .formatted(version, unreadable.status().versionInForce());
    String subject = unreadable.resource().toString();
    add("unreadable/" + version, Report.Kind.UNREADABLE, version, subject, text, now);
  }

  private void reportDivergence(
      long version, String own, String other, Member member, Instant now) {
    String lower = own.compareTo(other) < 0 ? own : other;
    String higher = lower.equals(own) ? other : own;
    String id = "divergence/" + version + "/" + lower + "/" + higher;
    String text = "state hash " + other + " differs from " + own;
    add(id, Report.Kind.DIVERGENCE, version, member.instance(), text, now);
  }

  private void awaitInForce(long version, Instant now) {
    awaitedVersions.put(version, now);
    if (awaitedVersions.size() > MAX_AWAITED_VERSIONS) {
      awaitedVersions.pollFirstEntry();
    }
  }

  private void reportInForce(Collection<Member> members, Instant now) {
    if (members.isEmpty()) {
      return;
    }
    while (!awaitedVersions.isEmpty()) {
      Map.Entry<Long, Instant> first = awaitedVersions.firstEntry();
      long version = first.getKey();
      long inForceCount =
          members.stream().filter(member -> member.configVersion() >= version).count();
      boolean inForceOnAll = inForceCount == members.size();
      if (!inForceOnAll && now.isBefore(first.getValue().plus(policy.inForceTimeout()))) {
        return;
      }
      awaitedVersions.pollFirstEntry();
      String text = "in force on " + inForceCount + " of " + members.size();
      add("in-force/" + version, Report.Kind.IN_FORCE, version, "configuration", text, now);
    }
  }

  private void add(
      String id, Report.Kind kind, long version, String subject, String text, Instant now) {
    queue.add(new Report(id, kind, version, subject, text, now));
  }
}
