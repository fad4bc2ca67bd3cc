package org.cuminlatch.wire.config;

import com.google.protobuf.ByteString;
import java.util.OptionalLong;
import java.util.zip.CRC32C;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.RecordEnvelope;
import org.cuminlatch.core.config.ResourceKey;
import org.cuminlatch.core.config.SchemaBody;
import org.cuminlatch.wire.proto.config.Body;
import org.cuminlatch.wire.proto.config.Envelope;
import org.cuminlatch.wire.proto.config.Record;
import org.cuminlatch.wire.proto.config.Reference;

/** Encodes and decodes configuration records: a mark, a checksum and the envelope. */
final class EnvelopeCodec {

  private static final int MARK = 0x434C5231;

  private EnvelopeCodec() {}

  static Bytes encode(RecordEnvelope envelope) {
    byte[] content = envelopeMessage(envelope).toByteArray();
    Record record =
        Record.newBuilder()
            .setMark(MARK)
            .setChecksum(checksum(content))
            .setEnvelope(ByteString.copyFrom(content))
            .build();
    return Bytes.copyOf(record.toByteArray());
  }

  static RecordEnvelope decode(Bytes content) {
    return StrictParser.translateRecordErrors("record", () -> parse(content));
  }

  static Reference referenceMessage(ResourceKey key) {
    return Reference.newBuilder().setKind(key.kind()).setName(key.name()).build();
  }

  static ResourceKey key(Reference reference) {
    return new ResourceKey(reference.getKind(), reference.getName());
  }

  static Body bodyMessage(SchemaBody body) {
    return Body.newBuilder()
        .setSchemaVersion(body.schemaVersion())
        .setContent(ByteString.copyFrom(body.content().toArray()))
        .build();
  }

  static SchemaBody body(Body body) {
    return new SchemaBody(body.getSchemaVersion(), Bytes.copyOf(body.getContent().toByteArray()));
  }

  private static Envelope envelopeMessage(RecordEnvelope envelope) {
    Envelope.Builder builder =
        Envelope.newBuilder()
            .setRecordId(envelope.recordId())
            .setKind(envelope.kind())
            .setResource(envelope.resource());
    envelope.expectedVersion().ifPresent(builder::setExpectedVersion);
    envelope.references().forEach(key -> builder.addReferences(referenceMessage(key)));
    envelope.bodies().forEach(body -> builder.addBodies(bodyMessage(body)));
    return builder.build();
  }

  private static RecordEnvelope parse(Bytes content) {
    Record record = StrictParser.parse(Record.parser(), content.toArray());
    StrictParser.require(record.getMark() == MARK, "does not have the mark of a record");
    byte[] encoded = record.getEnvelope().toByteArray();
    StrictParser.require(
        record.getChecksum() == checksum(encoded), "is truncated or does not match its checksum");
    Envelope envelope = StrictParser.parse(Envelope.parser(), encoded);
    return new RecordEnvelope(
        envelope.getRecordId(),
        envelope.getKind(),
        envelope.getResource(),
        envelope.hasExpectedVersion()
            ? OptionalLong.of(envelope.getExpectedVersion())
            : OptionalLong.empty(),
        envelope.getReferencesList().stream().map(EnvelopeCodec::key).toList(),
        envelope.getBodiesList().stream().map(EnvelopeCodec::body).toList());
  }

  private static int checksum(byte[] content) {
    CRC32C crc = new CRC32C();
    crc.update(content);
    return (int) crc.getValue();
  }
}
