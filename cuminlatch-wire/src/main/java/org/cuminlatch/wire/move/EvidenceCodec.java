package org.cuminlatch.wire.move;

import com.google.protobuf.InvalidProtocolBufferException;
import org.cuminlatch.core.move.EvidenceMessage;
import org.cuminlatch.wire.control.PayloadCodec;
import org.cuminlatch.wire.proto.control.Protocol;
import org.cuminlatch.wire.proto.move.EvidenceFrame;

/** Encodes and decodes the messages about moves; traffic shares are encoded as floats. */
public final class EvidenceCodec implements PayloadCodec<EvidenceMessage> {

  @Override
  public Protocol protocol() {
    return Protocol.EVIDENCE;
  }

  @Override
  public Class<EvidenceMessage> messageType() {
    return EvidenceMessage.class;
  }

  @Override
  public byte[] encode(EvidenceMessage message) {
    return EvidenceEncoder.encode(message).toByteArray();
  }

  @Override
  public EvidenceMessage decode(byte[] payload) {
    try {
      return EvidenceDecoder.decode(EvidenceFrame.parseFrom(payload));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw EvidenceDecoder.malformed(e.getMessage());
    }
  }
}
