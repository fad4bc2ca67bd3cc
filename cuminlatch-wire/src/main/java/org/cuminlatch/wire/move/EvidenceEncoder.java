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

/** Encodes messages about moves as frames. */
final class EvidenceEncoder {

  private EvidenceEncoder() {}

  static EvidenceFrame encode(EvidenceMessage message) {
    EvidenceFrame.Builder frame = EvidenceFrame.newBuilder();
    if (message instanceof NodeReport report) {
      frame.setNodeReport(encode(report));
    } else if (message instanceof ZoneReport report) {
      frame.setZoneReport(encode(report));
    } else if (message instanceof StepGrant grant) {
      frame.setStepGrant(encode(grant));
    } else if (message instanceof RollbackNotice notice) {
      frame.setRollbackNotice(
          RollbackNoticeFrame.newBuilder().addAllRollbacks(encodeRollbacks(notice.rollbacks())));
    }
    return frame.build();
  }

  private static NodeReportFrame encode(NodeReport report) {
    NodeReportFrame.Builder frame =
        NodeReportFrame.newBuilder()
            .setInstance(report.instance())
            .setRegion(report.locality().region())
            .setZone(report.locality().zone())
            .setEpoch(report.epoch())
            .setSequence(report.sequence())
            .addAllRollbacks(encodeRollbacks(report.rollbacks()));
    report.moves().forEach(move -> frame.addMoves(encode(move)));
    return frame.build();
  }

  private static ZoneReportFrame encode(ZoneReport report) {
    return ZoneReportFrame.newBuilder()
        .setInstance(report.instance())
        .setEpoch(report.epoch())
        .setSequence(report.sequence())
        .setRegion(report.locality().region())
        .setZone(report.locality().zone())
        .setMove(encode(report.move()))
        .addAllRollbacks(encodeRollbacks(report.rollbacks()))
        .build();
  }

  private static StepGrantFrame encode(StepGrant grant) {
    return StepGrantFrame.newBuilder()
        .setMove(grant.move().value())
        .setStep(grant.step() + 1)
        .setShareCap((float) grant.shareCap())
        .setHighestShare((float) grant.highestShare())
        .setEchoedEpoch(grant.echoedEpoch())
        .setEchoedSequence(grant.echoedSequence())
        .build();
  }

  private static MoveEvidenceFrame encode(MoveEvidence evidence) {
    MoveEvidenceFrame.Builder frame =
        MoveEvidenceFrame.newBuilder()
            .setMove(evidence.move().value())
            .setStep(evidence.step() + 1)
            .setHighestShare((float) evidence.highestShare())
            .setClosed(evidence.closed());
    evidence.rows().forEach(row -> frame.addRows(encode(row)));
    return frame.build();
  }

  static EvidenceRowFrame encode(EvidenceRow row) {
    CallCounts counts = row.counts();
    List<Long> latencies = counts.latencies();
    int firstBucket = 0;
    while (firstBucket < latencies.size() && latencies.get(firstBucket) == 0) {
      firstBucket++;
    }
    return EvidenceRowFrame.newBuilder()
        .setRoute(row.route())
        .setNewVersion(row.side() == Side.NEW)
        .setCalls(counts.calls())
        .setFailures(counts.failures())
        .setColdCalls(counts.coldCalls())
        .setColdFailures(counts.coldFailures())
        .setFirstBucket(firstBucket)
        .addAllLatencies(latencies.subList(firstBucket, latencies.size()))
        .build();
  }

  private static List<RollbackFrame> encodeRollbacks(List<Rollback> rollbacks) {
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
