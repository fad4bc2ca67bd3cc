package org.cuminlatch.wire.move;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.move.CallCounts;
import org.cuminlatch.core.move.EvidenceMessage;
import org.cuminlatch.core.move.EvidenceMessage.NodeReport;
import org.cuminlatch.core.move.EvidenceMessage.RollbackNotice;
import org.cuminlatch.core.move.EvidenceMessage.StepGrant;
import org.cuminlatch.core.move.EvidenceMessage.ZoneReport;
import org.cuminlatch.core.move.EvidenceRow;
import org.cuminlatch.core.move.EvidenceRow.Side;
import org.cuminlatch.core.move.MoveEvidence;
import org.cuminlatch.core.move.MoveId;
import org.cuminlatch.core.move.Rollback;
import org.cuminlatch.wire.proto.move.EvidenceFrame;
import org.cuminlatch.wire.proto.move.EvidenceRowFrame;
import org.cuminlatch.wire.proto.move.MoveEvidenceFrame;
import org.cuminlatch.wire.proto.move.ZoneReportFrame;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class EvidenceCodecTests {

  private static final MoveId MOVE = new MoveId(0xfeedfacecafebeefL);
  private static final Locality ZONE = new Locality("ege", "izmir");
  private static final Rollback ROLLBACK =
      new Rollback(MOVE, "new 9 of 9 failed", Instant.ofEpochMilli(1_234_567), 0.25);
  private static final MoveEvidence EVIDENCE =
      new MoveEvidence(
          MOVE,
          MoveEvidence.NO_STEP,
          0.5,
          true,
          List.of(
              new EvidenceRow("orders", Side.OLD, new CallCounts(9, 1, 2, 1, List.of(0L, 0L, 8L))),
              new EvidenceRow("orders", Side.NEW, CallCounts.NONE)));

  private final EvidenceCodec codec = new EvidenceCodec();

  static Stream<EvidenceMessage> messages() {
    return Stream.of(
        new NodeReport("izmir-1", ZONE, 7, 8, List.of(EVIDENCE), List.of(ROLLBACK)),
        new ZoneReport("izmir-1", 7, 8, ZONE, EVIDENCE, List.of()),
        new StepGrant(MOVE, 3, 1, 0.25, 7, 8),
        new RollbackNotice(List.of(ROLLBACK)));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void decodesWhatWasEncoded(EvidenceMessage message) {
    assertThat(codec.decode(codec.encode(message)), equalTo(message));
  }

  @Test
  void rejectsBytesThatAreNoMessage() {
    assertThat(decodeError(new byte[] {1, 2, 3}), is(ErrorCode.INVALID_FRAME));
    assertThat(decodeError(new byte[0]), is(ErrorCode.INVALID_FRAME));
  }

  @Test
  void rejectsMoreLatencyBucketsThanDefined() {
    EvidenceRowFrame row =
        EvidenceRowFrame.newBuilder().setRoute("r").setFirstBucket(1_000_000).build();
    byte[] frame =
        EvidenceFrame.newBuilder()
            .setZoneReport(
                ZoneReportFrame.newBuilder()
                    .setInstance("izmir-1")
                    .setRegion("ege")
                    .setZone("izmir")
                    .setMove(MoveEvidenceFrame.newBuilder().addRows(row)))
            .build()
            .toByteArray();

    assertThat(decodeError(frame), is(ErrorCode.INVALID_FRAME));
  }

  @Test
  void encodesRowWithManyCallsInFewerThan100Bytes() {
    CallCounts counts = new CallCounts(20_000, 100, 0, 0, Collections.nCopies(12, 1_600L));
    MoveEvidence evidence =
        new MoveEvidence(MOVE, 2, 0.2, false, List.of(new EvidenceRow("orders", Side.NEW, counts)));

    byte[] frame = codec.encode(new ZoneReport("izmir-1", 7, 8, ZONE, evidence, List.of()));

    assertThat(frame.length, lessThan(100));
  }

  private ErrorCode decodeError(byte[] payload) {
    return assertThrows(CuminlatchException.class, () -> codec.decode(payload)).code();
  }
}
