package org.cuminlatch.wire.config;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.wire.proto.config.MoveOutcomeV1;
import org.cuminlatch.wire.proto.config.MoveStopV1;
import org.cuminlatch.wire.proto.config.MoveV1;

/** Encodes and decodes moves, stops and outcomes in schema version 1; times are in milliseconds. */
final class MoveCodec {

  private MoveCodec() {}

  static byte[] encode(Move move) {
    return MoveV1.newBuilder()
        .setName(move.name())
        .setService(move.service())
        .setRoute(move.route().orElse(""))
        .setFrom(move.from())
        .setTo(move.to())
        .setStartEpochMillis(move.start().toEpochMilli())
        .setDeadlineEpochMillis(move.deadline().toEpochMilli())
        .addAllSteps(move.steps())
        .setSoakMillis(move.soak().toMillis())
        .setRegionByRegion(move.regionByRegion())
        .build()
        .toByteArray();
  }

  static byte[] encode(MoveStop stop) {
    return MoveStopV1.newBuilder()
        .setName(stop.name())
        .setReason(stop.reason())
        .build()
        .toByteArray();
  }

  static byte[] encode(MoveOutcome outcome) {
    return MoveOutcomeV1.newBuilder()
        .setName(outcome.name())
        .setResult(
            outcome.result() == MoveOutcome.Result.DONE
                ? MoveOutcomeV1.Result.DONE
                : MoveOutcomeV1.Result.ROLLED_BACK)
        .setReason(outcome.reason())
        .setDecidedAtEpochMillis(outcome.decidedAt().toEpochMilli())
        .setHighestShare(outcome.highestShare())
        .build()
        .toByteArray();
  }

  static Move decodeMove(byte[] content) {
    MoveV1 message = StrictParser.parse(MoveV1.parser(), content);
    return new Move(
        message.getName(),
        message.getService(),
        Optional.of(message.getRoute()).filter(route -> !route.isEmpty()),
        message.getFrom(),
        message.getTo(),
        Instant.ofEpochMilli(message.getStartEpochMillis()),
        Instant.ofEpochMilli(message.getDeadlineEpochMillis()),
        message.getStepsList(),
        Duration.ofMillis(message.getSoakMillis()),
        message.getRegionByRegion());
  }

  static MoveStop decodeStop(byte[] content) {
    MoveStopV1 message = StrictParser.parse(MoveStopV1.parser(), content);
    return new MoveStop(message.getName(), message.getReason());
  }

  static MoveOutcome decodeOutcome(byte[] content) {
    MoveOutcomeV1 message = StrictParser.parse(MoveOutcomeV1.parser(), content);
    return new MoveOutcome(
        message.getName(),
        result(message),
        message.getReason(),
        Instant.ofEpochMilli(message.getDecidedAtEpochMillis()),
        message.getHighestShare());
  }

  private static MoveOutcome.Result result(MoveOutcomeV1 message) {
    return switch (message.getResult()) {
      case DONE -> MoveOutcome.Result.DONE;
      case ROLLED_BACK -> MoveOutcome.Result.ROLLED_BACK;
      default -> throw new IllegalArgumentException("has no result");
    };
  }
}
