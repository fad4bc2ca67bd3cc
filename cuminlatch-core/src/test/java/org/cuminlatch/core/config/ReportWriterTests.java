package org.cuminlatch.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The report writer")
class ReportWriterTests {

  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

  private final ReportQueue queue = new ReportQueue(ReportPolicy.defaults());
  private final ReportWriter writer = new ReportWriter(ReportPolicy.defaults(), queue);

  @Test
  void reportsVerdictsWithReasonOfRefusal() {
    writer.onEvent(decided(4, Optional.empty()), START);
    Refusal refusal = new Refusal(RefusalReason.MOVE_CONFLICT, "the move m is open");
    writer.onEvent(decided(5, Optional.of(refusal)), START);
    assertThat(texts(), contains("record id", "record id: MOVE_CONFLICT, the move m is open"));
    assertThat(
        queue.batch(START).stream().map(Report::kind).toList(),
        contains(Report.Kind.ACCEPTED, Report.Kind.REFUSED));
  }

  @Test
  void reportsVersionInForceOnceAllMembersHaveIt() {
    writer.onEvent(decided(4, Optional.empty()), START);
    markAllAppended();
    writer.onMembers(5, "h", List.of(member("a", 5, "h"), member("b", 4, "g")), START);
    assertThat(texts(), is(empty()));
    writer.onMembers(5, "h", List.of(member("a", 5, "h"), member("b", 5, "h")), START);
    assertThat(texts(), contains("in force on 2 of 2"));
  }

  @Test
  void reportsNumberOfMembersInForceAfterTimeout() {
    writer.onEvent(decided(4, Optional.empty()), START);
    markAllAppended();
    List<Member> members = List.of(member("a", 5, "h"), member("b", 4, "g"));
    writer.onMembers(5, "h", members, START.plusSeconds(15));
    assertThat(texts(), contains("in force on 1 of 2"));
  }

  @Test
  void reportsRepeatedDivergenceOnlyOnce() {
    List<Member> members = List.of(member("a", 5, "h"), member("b", 5, "g"));
    writer.onMembers(5, "h", members, START);
    writer.onMembers(5, "h", members, START);
    writer.onMembers(5, "g", members, START);
    assertThat(texts(), contains("state hash g differs from h"));
  }

  @Test
  void reportsNoDivergenceForOtherVersionOrMissingHash() {
    List<Member> members = List.of(member("a", 4, "x"), member("b", 5, ""));
    writer.onMembers(5, "h", members, START);
    assertThat(texts(), is(empty()));
  }

  @Test
  void reportsNoDivergenceForAbbreviatedHash() {
    writer.onMembers(5, "24e4b6e553c39f0a", List.of(member("a", 5, "24e4b6e5")), START);
    assertThat(texts(), not(hasItem(containsString("differs"))));
  }

  @Test
  void reportsGapsAndInvalidCheckpointsOnlyOnce() {
    writer.onEvent(new FoldEvent.OffsetGap(7, 9), START);
    writer.onEvent(new FoldEvent.OffsetGap(7, 12), START);
    writer.onInvalidCheckpoint(3, "is cut short", START);
    assertThat(texts(), contains("offset 7 is missing, 9 came instead", "is cut short"));
  }

  private void markAllAppended() {
    queue.onAppended(queue.batch(START), START);
  }

  private List<String> texts() {
    return queue.batch(START).stream().map(Report::text).toList();
  }

  private static FoldEvent decided(long offset, Optional<Refusal> refusal) {
    return new FoldEvent.Decided(
        offset, Optional.of("id"), Optional.of(ResourceKey.route("r")), refusal);
  }

  private static Member member(String name, long version, String hash) {
    return new Member(
        name,
        0,
        Member.Status.ALIVE,
        new Address("127.0.0.1", 1),
        new Address("127.0.0.1", 2),
        new Locality("ege", "izmir"),
        "siparis",
        "v1",
        6,
        Member.Phase.SERVING,
        Set.of(1, 2),
        version,
        hash);
  }
}
