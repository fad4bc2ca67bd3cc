package org.cuminlatch.wire.move;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.move.CallCounts;
import org.cuminlatch.core.move.EvidenceMessage;
import org.cuminlatch.core.move.EvidenceMessage.NodeReport;
import org.cuminlatch.core.move.EvidenceMessage.RollbackNotice;
import org.cuminlatch.core.move.EvidenceMessage.StepGrant;
import org.cuminlatch.core.move.EvidenceMessage.ZoneReport;
import org.cuminlatch.core.move.EvidenceRow;
import org.cuminlatch.core.move.EvidenceRow.Side;
import org.cuminlatch.core.move.LatencyBuckets;
import org.cuminlatch.core.move.MoveEvidence;
import org.cuminlatch.core.move.MoveId;
import org.cuminlatch.core.move.Rollback;
import org.cuminlatch.wire.proto.move.EvidenceFrame;
import org.cuminlatch.wire.proto.move.EvidenceRowFrame;
import org.cuminlatch.wire.proto.move.MoveEvidenceFrame;
import org.cuminlatch.wire.proto.move.NodeReportFrame;
import org.cuminlatch.wire.proto.move.RollbackFrame;
import org.cuminlatch.wire.proto.move.StepGrantFrame;
import org.cuminlatch.wire.proto.move.ZoneReportFrame;

/** Decodes frames into messages about moves; rejects malformed frames. */
final class EvidenceDecoder {

  private EvidenceDecoder() {}

  static EvidenceMessage decode(EvidenceFrame frame) {
    return switch (frame.getKindCase()) {
      case NODE_REPORT -> decode(frame.getNodeReport());
      case ZONE_REPORT -> decode(frame.getZoneReport());
      case STEP_GRANT -> decode(frame.getStepGrant());
      case ROLLBACK_NOTICE ->
          new RollbackNotice(decodeRollbacks(frame.getRollbackNotice().getRollbacksList()));
      case KIND_NOT_SET -> throw malformed("message has an unknown type");
    };
  }

  private static NodeReport decode(NodeReportFrame frame) {
    return new NodeReport(
        frame.getInstance(),
        new Locality(frame.getRegion(), frame.getZone()),
        frame.getEpoch(),
        frame.getSequence(),
        frame.getMovesList().stream().map(EvidenceDecoder::decode).toList(),
        decodeRollbacks(frame.getRollbacksList()));
  }

  private static ZoneReport decode(ZoneReportFrame frame) {
    return new ZoneReport(
        frame.getInstance(),
        frame.getEpoch(),
        frame.getSequence(),
        new Locality(frame.getRegion(), frame.getZone()),
        decode(frame.getMove()),
        decodeRollbacks(frame.getRollbacksList()));
  }

  private static StepGrant decode(StepGrantFrame frame) {
    return new StepGrant(
        new MoveId(frame.getMove()),
        frame.getStep() - 1,
        frame.getShareCap(),
        frame.getHighestShare(),
        frame.getEchoedEpoch(),
        frame.getEchoedSequence());
  }

  private static MoveEvidence decode(MoveEvidenceFrame frame) {
    return new MoveEvidence(
        new MoveId(frame.getMove()),
        frame.getStep() - 1,
        frame.getHighestShare(),
        frame.getClosed(),
        frame.getRowsList().stream().map(EvidenceDecoder::decode).toList());
  }

  private static EvidenceRow decode(EvidenceRowFrame frame) {
    int bucketCount = frame.getFirstBucket() + frame.getLatenciesCount();
    if (frame.getFirstBucket() < 0 || bucketCount > LatencyBuckets.COUNT) {
      throw malformed("a row has " + bucketCount + " latency buckets");
    }
    List<Long> latencies = new ArrayList<>(bucketCount);
    for (int i = 0; i < frame.getFirstBucket(); i++) {
      latencies.add(0L);
    }
    latencies.addAll(frame.getLatenciesList());
    CallCounts counts =
        new CallCounts(
            frame.getCalls(),
            frame.getFailures(),
            frame.getColdCalls(),
            frame.getColdFailures(),
            latencies);
    return new EvidenceRow(frame.getRoute(), frame.getNewVersion() ? Side.NEW : Side.OLD, counts);
  }

  private static List<Rollback> decodeRollbacks(List<RollbackFrame> frames) {
    return frames.stream()
        .map(
            frame ->
                new Rollback(
                    new MoveId(frame.getMove()),
                    frame.getReason(),
                    Instant.ofEpochMilli(frame.getDecidedAtMillis()),
                    frame.getHighestShare()))
        .toList();
  }

  static CuminlatchException malformed(String reason) {
    return CuminlatchException.of(
        ErrorCode.INVALID_FRAME, Step.CODEC, "malformed evidence: " + reason);
  }
}
