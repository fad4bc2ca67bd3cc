package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.cuminlatch.core.membership.Member;

/** Turns what an instance finds out into reports: verdicts, convergence and divergence. */
public final class ReportWriter {

  private static final int MAX_WATCHED = 256;

  private final ReportPolicy policy;
  private final ReportQueue queue;
  private final TreeMap<Long, Instant> watched = new TreeMap<>();

  /**
   * Creates a writer.
   *
   * @param policy when convergence is reported
   * @param queue takes the reports
   */
  public ReportWriter(ReportPolicy policy, ReportQueue queue) {
    this.policy = notNull(policy, "policy");
    this.queue = notNull(queue, "queue");
  }

  /**
   * Takes an event of the fold.
   *
   * @param event the event
   * @param now the time
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
   * Takes a checkpoint that could not be used.
   *
   * @param offset its offset on the stream of checkpoints
   * @param problem what is wrong with it
   * @param now the time
   */
  public void onInvalidCheckpoint(long offset, String problem, Instant now) {
    String subject = "checkpoint at offset " + offset;
    add("checkpoint/" + offset, Report.Kind.INVALID_CHECKPOINT, 0, subject, problem, now);
  }

  /**
   * Compares this instance with the others.
   *
   * @param version configuration version in force here
   * @param stateHash hash of the state here
   * @param members all live members
   * @param now the time
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
      watch(version, now);
    } else {
      String text =
          record
              + ": "
              + decided.refusal().map(why -> why.reason() + ", " + why.detail()).orElseThrow();
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
    String low = own.compareTo(other) < 0 ? own : other;
    String high = low.equals(own) ? other : own;
    String id = "divergence/" + version + "/" + low + "/" + high;
    String text = "state hash " + other + " differs from " + own;
    add(id, Report.Kind.DIVERGENCE, version, member.instance(), text, now);
  }

  private void watch(long version, Instant now) {
    watched.put(version, now);
    if (watched.size() > MAX_WATCHED) {
      watched.pollFirstEntry();
    }
  }

  private void reportInForce(Collection<Member> members, Instant now) {
    if (members.isEmpty()) {
      return;
    }
    while (!watched.isEmpty()) {
      Map.Entry<Long, Instant> first = watched.firstEntry();
      long version = first.getKey();
      long holders = members.stream().filter(m -> m.configVersion() >= version).count();
      boolean complete = holders == members.size();
      if (!complete && now.isBefore(first.getValue().plus(policy.inForceAfter()))) {
        return;
      }
      watched.pollFirstEntry();
      String text = "in force on " + holders + " of " + members.size();
      add("in-force/" + version, Report.Kind.IN_FORCE, version, "configuration", text, now);
    }
  }

  private void add(
      String id, Report.Kind kind, long version, String subject, String text, Instant now) {
    queue.add(new Report(id, kind, version, subject, text, now));
  }
}
