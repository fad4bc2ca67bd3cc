package org.cuminlatch.wire.move;

import java.util.List;
import org.cuminlatch.core.move.CallCounts;
import org.cuminlatch.core.move.EvidenceMessage;
import org.cuminlatch.core.move.EvidenceMessage.NodeReport;
import org.cuminlatch.core.move.EvidenceMessage.RollbackNotice;
import org.cuminlatch.core.move.EvidenceMessage.StepGrant;
import org.cuminlatch.core.move.EvidenceMessage.ZoneReport;
import org.cuminlatch.core.move.EvidenceRow;
import org.cuminlatch.core.move.EvidenceRow.Side;
import org.cuminlatch.core.move.MoveEvidence;
import org.cuminlatch.core.move.Rollback;
import org.cuminlatch.wire.proto.move.EvidenceFrame;
import org.cuminlatch.wire.proto.move.EvidenceRowFrame;
import org.cuminlatch.wire.proto.move.MoveEvidenceFrame;
import org.cuminlatch.wire.proto.move.NodeReportFrame;
import org.cuminlatch.wire.proto.move.RollbackFrame;
import org.cuminlatch.wire.proto.move.RollbackNoticeFrame;
import org.cuminlatch.wire.proto.move.StepGrantFrame;
import org.cuminlatch.wire.proto.move.ZoneReportFrame;

/** Translates messages about moves into frames. */
final class EvidenceEncoder {

  private EvidenceEncoder() {}

  static EvidenceFrame toFrame(EvidenceMessage message) {
    EvidenceFrame.Builder frame = EvidenceFrame.newBuilder();
    if (message instanceof NodeReport report) {
      frame.setNodeReport(toFrame(report));
    } else if (message instanceof ZoneReport report) {
      frame.setZoneReport(toFrame(report));
    } else if (message instanceof StepGrant grant) {
      frame.setStepGrant(toFrame(grant));
    } else if (message instanceof RollbackNotice notice) {
      frame.setRollbackNotice(
          RollbackNoticeFrame.newBuilder().addAllRollbacks(toFrames(notice.rollbacks())));
    }
    return frame.build();
  }

  private static NodeReportFrame toFrame(NodeReport report) {
    NodeReportFrame.Builder frame =
        NodeReportFrame.newBuilder()
            .setInstance(report.instance())
            .setRegion(report.locality().region())
            .setZone(report.locality().zone())
            .setEpoch(report.epoch())
            .setSequence(report.sequence())
            .addAllRollbacks(toFrames(report.rollbacks()));
    report.moves().forEach(move -> frame.addMoves(toFrame(move)));
    return frame.build();
  }

  private static ZoneReportFrame toFrame(ZoneReport report) {
    return ZoneReportFrame.newBuilder()
        .setInstance(report.instance())
        .setEpoch(report.epoch())
        .setSequence(report.sequence())
        .setRegion(report.locality().region())
        .setZone(report.locality().zone())
        .setMove(toFrame(report.move()))
        .addAllRollbacks(toFrames(report.rollbacks()))
        .build();
  }

  private static StepGrantFrame toFrame(StepGrant grant) {
    return StepGrantFrame.newBuilder()
        .setMove(grant.move().value())
        .setStep(grant.step() + 1)
        .setShareCap((float) grant.shareCap())
        .setHighestShare((float) grant.highestShare())
        .setEchoedEpoch(grant.echoedEpoch())
        .setEchoedSequence(grant.echoedSequence())
        .build();
  }

  private static MoveEvidenceFrame toFrame(MoveEvidence evidence) {
    MoveEvidenceFrame.Builder frame =
        MoveEvidenceFrame.newBuilder()
            .setMove(evidence.move().value())
            .setStep(evidence.step() + 1)
            .setHighestShare((float) evidence.highestShare())
            .setClosed(evidence.closed());
    evidence.rows().forEach(row -> frame.addRows(toFrame(row)));
    return frame.build();
  }

  static EvidenceRowFrame toFrame(EvidenceRow row) {
    CallCounts counts = row.counts();
    List<Long> latencies = counts.latencies();
    int first = 0;
    while (first < latencies.size() && latencies.get(first) == 0) {
      first++;
    }
    return EvidenceRowFrame.newBuilder()
        .setRoute(row.route())
        .setNewVersion(row.side() == Side.NEW)
        .setCalls(counts.calls())
        .setFailures(counts.failures())
        .setColdCalls(counts.coldCalls())
        .setColdFailures(counts.coldFailures())
        .setFirstBucket(first)
        .addAllLatencies(latencies.subList(first, latencies.size()))
        .build();
  }

  private static List<RollbackFrame> toFrames(List<Rollback> rollbacks) {
    return rollbacks.stream()
        .map(
            rollback ->
                RollbackFrame.newBuilder()
                    .setMove(rollback.move().value())
                    .setReason(rollback.reason())
                    .setDecidedAtMillis(rollback.decidedAt().toEpochMilli())
                    .setHighestShare((float) rollback.highestShare())
                    .build())
        .toList();
  }
}
