package org.cuminlatch.core.move;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.move.EvidenceMessage.NodeReport;
import org.cuminlatch.core.move.EvidenceMessage.ZoneReport;
import org.cuminlatch.core.move.EvidenceRow.Side;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AggregatedEvidenceTests {

  private static final Instant NOW = Instant.parse("2026-03-01T08:00:00Z");
  private static final Locality ZONE = new Locality("ege", "izmir");
  private static final MoveId MOVE = new MoveId(1);

  private final AggregatedEvidence evidence = new AggregatedEvidence();

  @Nested
  class LocalZone {

    @Test
    void sumsCountsOverProcessRunsOfNode() {
      evidence.accept(report(1, 1), evidence(100), NOW);
      evidence.accept(report(2, 1), evidence(7), NOW);

      assertThat(calls(), is(107L));
    }

    @Test
    void ignoresDuplicateAndReorderedReports() {
      evidence.accept(report(1, 2), evidence(100), NOW);
      evidence.accept(report(1, 1), evidence(60), NOW);
      evidence.accept(report(1, 2), evidence(100), NOW);

      assertThat(calls(), is(100L));
    }

    private NodeReport report(long epoch, long sequence) {
      return new NodeReport("izmir-1", ZONE, epoch, sequence, List.of(), List.of());
    }
  }

  @Nested
  class OtherZone {

    @Test
    void keepsSumsWhenNewAggregatorReportsLess() {
      evidence.accept(report("bursa-1", 1, 100), NOW);
      evidence.accept(report("bursa-2", 1, 40), NOW);

      assertThat(calls(), is(100L));
    }

    @Test
    void addsIncreaseReportedByNewAggregator() {
      evidence.accept(report("bursa-1", 1, 100), NOW);
      evidence.accept(report("bursa-2", 1, 40), NOW);
      evidence.accept(report("bursa-2", 2, 45), NOW);

      assertThat(calls(), is(105L));
    }

    @Test
    void ignoresDuplicateAndReorderedReports() {
      evidence.accept(report("bursa-1", 1, 60), NOW);
      evidence.accept(report("bursa-1", 3, 100), NOW);
      evidence.accept(report("bursa-1", 2, 80), NOW);
      evidence.accept(report("bursa-1", 3, 100), NOW);

      assertThat(calls(), is(100L));
    }

    private ZoneReport report(String instance, long sequence, long calls) {
      Locality zone = new Locality("marmara", "bursa");
      return new ZoneReport(instance, 1, sequence, zone, evidence(calls), List.of());
    }
  }

  private long calls() {
    return evidence.total().total(Side.NEW).calls();
  }

  private static MoveEvidence evidence(long calls) {
    CallCounts counts = new CallCounts(calls, 0, 0, 0, List.of());
    return new MoveEvidence(
        MOVE, 0, 0, false, List.of(new EvidenceRow("orders", Side.NEW, counts)));
  }
}
