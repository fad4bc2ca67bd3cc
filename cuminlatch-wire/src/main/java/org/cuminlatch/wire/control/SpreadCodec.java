package org.cuminlatch.wire.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.spread.InForce;
import org.cuminlatch.core.spread.SpreadMessage;
import org.cuminlatch.core.spread.SpreadMessage.Checkpoint;
import org.cuminlatch.core.spread.SpreadMessage.Heartbeat;
import org.cuminlatch.core.spread.SpreadMessage.Progress;
import org.cuminlatch.core.spread.SpreadMessage.Pull;
import org.cuminlatch.core.spread.SpreadMessage.Records;
import org.cuminlatch.core.spread.SpreadMessage.VersionCount;
import org.cuminlatch.wire.proto.control.Protocol;
import org.cuminlatch.wire.proto.spread.CheckpointMessage;
import org.cuminlatch.wire.proto.spread.HeartbeatMessage;
import org.cuminlatch.wire.proto.spread.ProgressMessage;
import org.cuminlatch.wire.proto.spread.PullMessage;
import org.cuminlatch.wire.proto.spread.RecordsMessage;
import org.cuminlatch.wire.proto.spread.SpreadPayload;

/** Encodes and decodes the messages that distribute configuration records. */
public final class SpreadCodec implements PayloadCodec<SpreadMessage> {

  @Override
  public Protocol protocol() {
    return Protocol.SPREAD;
  }

  @Override
  public Class<SpreadMessage> messageType() {
    return SpreadMessage.class;
  }

  @Override
  public byte[] encode(SpreadMessage message) {
    SpreadPayload.Builder payload = SpreadPayload.newBuilder();
    if (message instanceof Heartbeat heartbeat) {
      payload.setHeartbeat(encodeHeartbeat(heartbeat));
    } else if (message instanceof Records records) {
      payload.setRecords(encodeRecords(records));
    } else if (message instanceof Pull pull) {
      payload.setPull(PullMessage.newBuilder().setFrom(pull.from()));
    } else if (message instanceof Progress progress) {
      payload.setProgress(encodeProgress(progress));
    } else if (message instanceof Checkpoint checkpoint) {
      payload.setCheckpoint(
          CheckpointMessage.newBuilder()
              .setVersion(checkpoint.version())
              .setContent(ByteString.copyFrom(checkpoint.content().toArray())));
    }
    return payload.build().toByteArray();
  }

  private static HeartbeatMessage encodeHeartbeat(Heartbeat heartbeat) {
    return HeartbeatMessage.newBuilder()
        .setReader(heartbeat.reader())
        .setRound(heartbeat.round())
        .setVersion(heartbeat.version())
        .setLogReadable(heartbeat.logReadable())
        .setReportedVersion(heartbeat.inForce().version())
        .setInForce(heartbeat.inForce().count())
        .setMembers(heartbeat.inForce().members())
        .build();
  }

  private static RecordsMessage encodeRecords(Records records) {
    RecordsMessage.Builder builder =
        RecordsMessage.newBuilder().setVersion(records.version()).setPushed(records.pushed());
    for (LogRecord logged : records.records()) {
      builder
          .addRecordsBuilder()
          .setOffset(logged.offset())
          .setContent(ByteString.copyFrom(logged.content().toArray()));
    }
    return builder.build();
  }

  private static ProgressMessage encodeProgress(Progress progress) {
    ProgressMessage.Builder builder = ProgressMessage.newBuilder().setInstance(progress.instance());
    for (VersionCount count : progress.counts()) {
      builder
          .addCountsBuilder()
          .setVersion(count.version())
          .setStateHash(count.stateHash())
          .setCount(count.count());
    }
    return builder.build();
  }

  @Override
  public SpreadMessage decode(byte[] payload) {
    try {
      return decoded(SpreadPayload.parseFrom(payload));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw FrameErrors.malformed("spread message", e);
    }
  }

  private static SpreadMessage decoded(SpreadPayload payload) {
    return switch (payload.getMessageCase()) {
      case HEARTBEAT -> decodeHeartbeat(payload.getHeartbeat());
      case RECORDS -> decodeRecords(payload.getRecords());
      case PULL -> new Pull(payload.getPull().getFrom());
      case PROGRESS -> decodeProgress(payload.getProgress());
      case CHECKPOINT -> {
        CheckpointMessage checkpoint = payload.getCheckpoint();
        yield new Checkpoint(checkpoint.getVersion(), bytes(checkpoint.getContent()));
      }
      case MESSAGE_NOT_SET -> throw new IllegalArgumentException("message has an unknown type");
    };
  }

  private static Heartbeat decodeHeartbeat(HeartbeatMessage heartbeat) {
    InForce inForce =
        new InForce(heartbeat.getReportedVersion(), heartbeat.getInForce(), heartbeat.getMembers());
    return new Heartbeat(
        heartbeat.getReader(),
        heartbeat.getRound(),
        heartbeat.getVersion(),
        heartbeat.getLogReadable(),
        inForce);
  }

  private static Records decodeRecords(RecordsMessage records) {
    List<LogRecord> decoded =
        records.getRecordsList().stream()
            .map(logged -> new LogRecord(logged.getOffset(), bytes(logged.getContent())))
            .toList();
    return new Records(records.getVersion(), decoded, records.getPushed());
  }

  private static Progress decodeProgress(ProgressMessage progress) {
    List<VersionCount> counts =
        progress.getCountsList().stream()
            .map(c -> new VersionCount(c.getVersion(), c.getStateHash(), c.getCount()))
            .toList();
    return new Progress(progress.getInstance(), counts);
  }

  private static Bytes bytes(ByteString content) {
    return Bytes.copyOf(content.toByteArray());
  }
}
