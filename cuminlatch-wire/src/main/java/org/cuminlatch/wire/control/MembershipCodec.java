package org.cuminlatch.wire.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.MembershipMessage;
import org.cuminlatch.core.membership.MembershipMessage.Ack;
import org.cuminlatch.core.membership.MembershipMessage.Digest;
import org.cuminlatch.core.membership.MembershipMessage.FloorAnswer;
import org.cuminlatch.core.membership.MembershipMessage.FloorQuery;
import org.cuminlatch.core.membership.MembershipMessage.Gossip;
import org.cuminlatch.core.membership.MembershipMessage.Ping;
import org.cuminlatch.core.membership.MembershipMessage.PingRequest;
import org.cuminlatch.core.membership.MembershipMessage.Sender;
import org.cuminlatch.core.membership.MembershipMessage.Summary;
import org.cuminlatch.core.membership.MembershipMessage.Sync;
import org.cuminlatch.core.membership.MembershipMessage.VersionNote;
import org.cuminlatch.core.membership.MembershipMessage.ZoneDigest;
import org.cuminlatch.core.membership.Update;
import org.cuminlatch.wire.proto.control.Protocol;
import org.cuminlatch.wire.proto.membership.AckMessage;
import org.cuminlatch.wire.proto.membership.DigestMessage;
import org.cuminlatch.wire.proto.membership.FloorAnswerMessage;
import org.cuminlatch.wire.proto.membership.FloorQueryMessage;
import org.cuminlatch.wire.proto.membership.GossipMessage;
import org.cuminlatch.wire.proto.membership.MembershipPayload;
import org.cuminlatch.wire.proto.membership.PingMessage;
import org.cuminlatch.wire.proto.membership.PingRequestMessage;
import org.cuminlatch.wire.proto.membership.SenderState;
import org.cuminlatch.wire.proto.membership.SummaryMessage;
import org.cuminlatch.wire.proto.membership.SyncMessage;
import org.cuminlatch.wire.proto.membership.UpdateMessage;
import org.cuminlatch.wire.proto.membership.VersionNoteMessage;
import org.cuminlatch.wire.proto.membership.ZoneName;

/** Encodes and decodes the messages of the membership protocol. */
public final class MembershipCodec implements PayloadCodec<MembershipMessage> {

  @Override
  public Protocol protocol() {
    return Protocol.MEMBERSHIP;
  }

  @Override
  public Class<MembershipMessage> messageType() {
    return MembershipMessage.class;
  }

  @Override
  public byte[] encode(MembershipMessage message) {
    MembershipPayload.Builder payload = MembershipPayload.newBuilder();
    if (message instanceof Ping ping) {
      payload.setPing(encodePing(ping));
    } else if (message instanceof Ack ack) {
      payload.setAck(encodeAck(ack));
    } else if (message instanceof PingRequest request) {
      payload.setPingRequest(encodePingRequest(request));
    } else if (message instanceof Gossip gossip) {
      payload.setGossip(GossipMessage.newBuilder().addAllUpdates(updates(gossip.updates())));
    } else if (message instanceof Digest digest) {
      payload.setDigest(encodeDigest(digest));
    } else if (message instanceof Summary summary) {
      payload.setSummary(encodeSummary(summary));
    } else if (message instanceof Sync sync) {
      payload.setSync(encodeSync(sync));
    } else if (message instanceof VersionNote note) {
      payload.setVersionNote(
          VersionNoteMessage.newBuilder()
              .setInstance(note.instance())
              .setConfigVersion(note.configVersion()));
    } else if (message instanceof FloorQuery query) {
      payload.setFloorQuery(FloorQueryMessage.newBuilder().setInstance(query.instance()));
    } else if (message instanceof FloorAnswer answer) {
      payload.setFloorAnswer(
          FloorAnswerMessage.newBuilder()
              .setInstance(answer.instance())
              .setRememberedVersion(answer.rememberedVersion())
              .setOwnVersion(answer.ownVersion()));
    }
    return payload.build().toByteArray();
  }

  private static PingMessage encodePing(Ping ping) {
    return PingMessage.newBuilder()
        .setSequence(ping.sequence())
        .setSender(sender(ping.sender()))
        .setTarget(ping.target())
        .addAllUpdates(updates(ping.updates()))
        .build();
  }

  private static AckMessage encodeAck(Ack ack) {
    return AckMessage.newBuilder()
        .setSequence(ack.sequence())
        .setSender(sender(ack.sender()))
        .addAllUpdates(updates(ack.updates()))
        .build();
  }

  private static PingRequestMessage encodePingRequest(PingRequest request) {
    return PingRequestMessage.newBuilder()
        .setSequence(request.sequence())
        .setSender(sender(request.sender()))
        .setTarget(request.target())
        .setTargetAddress(MemberCodec.endpoint(request.targetAddress()))
        .build();
  }

  private static DigestMessage encodeDigest(Digest digest) {
    DigestMessage.Builder builder = DigestMessage.newBuilder().setSender(sender(digest.sender()));
    for (ZoneDigest zone : digest.zones()) {
      builder
          .addZonesBuilder()
          .setRegion(zone.locality().region())
          .setZone(zone.locality().zone())
          .setDigest(zone.digest());
    }
    return builder.build();
  }

  private static SummaryMessage encodeSummary(Summary summary) {
    SummaryMessage.Builder builder =
        SummaryMessage.newBuilder()
            .setSender(sender(summary.sender()))
            .addAllFingerprints(summary.fingerprints());
    for (Locality zone : summary.zones()) {
      builder.addZonesBuilder().setRegion(zone.region()).setZone(zone.zone());
    }
    return builder.build();
  }

  private static SyncMessage encodeSync(Sync sync) {
    return SyncMessage.newBuilder()
        .setSender(sender(sync.sender()))
        .addAllUpdates(updates(sync.updates()))
        .addAllWanted(sync.wanted())
        .build();
  }

  private static SenderState sender(Sender sender) {
    return SenderState.newBuilder()
        .setInstance(sender.instance())
        .setIncarnation(sender.incarnation())
        .setConfigVersion(sender.configVersion())
        .setStateHash(sender.stateHash())
        .setRosterDigest(sender.rosterDigest())
        .build();
  }

  private static List<UpdateMessage> updates(List<Update> updates) {
    return updates.stream().map(MemberCodec::encode).toList();
  }

  @Override
  public MembershipMessage decode(byte[] payload) {
    try {
      return decoded(MembershipPayload.parseFrom(payload));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw FrameErrors.malformed("membership message", e);
    }
  }

  private static MembershipMessage decoded(MembershipPayload payload) {
    return switch (payload.getMessageCase()) {
      case PING -> decodePing(payload.getPing());
      case ACK -> decodeAck(payload.getAck());
      case PING_REQUEST -> decodePingRequest(payload.getPingRequest());
      case GOSSIP -> new Gossip(decodeUpdates(payload.getGossip().getUpdatesList()));
      case DIGEST -> decodeDigest(payload.getDigest());
      case SUMMARY -> decodeSummary(payload.getSummary());
      case SYNC -> decodeSync(payload.getSync());
      case VERSION_NOTE -> {
        VersionNoteMessage note = payload.getVersionNote();
        yield new VersionNote(note.getInstance(), note.getConfigVersion());
      }
      case FLOOR_QUERY -> new FloorQuery(payload.getFloorQuery().getInstance());
      case FLOOR_ANSWER -> {
        FloorAnswerMessage answer = payload.getFloorAnswer();
        yield new FloorAnswer(
            answer.getInstance(), answer.getRememberedVersion(), answer.getOwnVersion());
      }
      case MESSAGE_NOT_SET -> throw new IllegalArgumentException("message has an unknown type");
    };
  }

  private static Ping decodePing(PingMessage ping) {
    return new Ping(
        ping.getSequence(),
        decodeSender(ping.getSender()),
        ping.getTarget(),
        decodeUpdates(ping.getUpdatesList()));
  }

  private static Ack decodeAck(AckMessage ack) {
    return new Ack(
        ack.getSequence(), decodeSender(ack.getSender()), decodeUpdates(ack.getUpdatesList()));
  }

  private static PingRequest decodePingRequest(PingRequestMessage request) {
    return new PingRequest(
        request.getSequence(),
        decodeSender(request.getSender()),
        request.getTarget(),
        MemberCodec.address(request.getTargetAddress()));
  }

  private static Digest decodeDigest(DigestMessage digest) {
    List<ZoneDigest> zones =
        digest.getZonesList().stream()
            .map(z -> new ZoneDigest(new Locality(z.getRegion(), z.getZone()), z.getDigest()))
            .toList();
    return new Digest(decodeSender(digest.getSender()), zones);
  }

  private static Summary decodeSummary(SummaryMessage summary) {
    List<Locality> zones =
        summary.getZonesList().stream().map(MembershipCodec::decodeZone).toList();
    return new Summary(decodeSender(summary.getSender()), zones, summary.getFingerprintsList());
  }

  private static Locality decodeZone(ZoneName zone) {
    return new Locality(zone.getRegion(), zone.getZone());
  }

  private static Sync decodeSync(SyncMessage sync) {
    return new Sync(
        decodeSender(sync.getSender()), decodeUpdates(sync.getUpdatesList()), sync.getWantedList());
  }

  private static Sender decodeSender(SenderState state) {
    return new Sender(
        state.getInstance(),
        state.getIncarnation(),
        state.getConfigVersion(),
        state.getStateHash(),
        state.getRosterDigest());
  }

  private static List<Update> decodeUpdates(List<UpdateMessage> updates) {
    return updates.stream().map(MemberCodec::decode).toList();
  }
}
