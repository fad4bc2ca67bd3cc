package org.cuminlatch.wire.config;

import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.ConfigurationReplicas;
import org.cuminlatch.core.config.FoldEvent;
import org.cuminlatch.core.config.RecordEnvelope;
import org.cuminlatch.core.config.ReplicaCodecs;
import org.cuminlatch.core.config.Resource;

/** Encodes and decodes configuration records and checkpoints with protobuf. */
public final class ConfigurationCodecs {

  /** Schema versions that this release supports. */
  public static final Set<Integer> SCHEMA_VERSIONS = Set.of(1, 2);

  private ConfigurationCodecs() {}

  /**
   * Returns the protobuf codecs for a replica.
   *
   * @return the codecs
   */
  public static ReplicaCodecs protobuf() {
    return new ReplicaCodecs(EnvelopeCodec::decode, BodyCodec::decode, new LedgerCodec());
  }

  /**
   * Creates an empty replica that supports all schema versions of this release.
   *
   * @param events receives the verdict on each folded record, unreadable resources and gaps
   * @return the replica at version 0
   */
  public static ConfigurationReplica replica(Consumer<FoldEvent> events) {
    return ConfigurationReplicas.create(protobuf(), SCHEMA_VERSIONS, events);
  }

  /**
   * Wraps a resource in an envelope, with the bodies of those schema versions in which it matches
   * and retries the same requests.
   *
   * @param recordId unique id; a repeated append must use the same id
   * @param resource the resource
   * @param expectedVersion version of the resource that the appender last read; for a stop or an
   *     outcome, the version of the move
   * @return the envelope with its references
   */
  public static RecordEnvelope envelope(
      String recordId, Resource resource, OptionalLong expectedVersion) {
    return EnvelopeFactory.of(recordId, resource, expectedVersion);
  }

  /**
   * Encodes an envelope as a record of the log.
   *
   * @param envelope the envelope
   * @return the bytes
   */
  public static Bytes encode(RecordEnvelope envelope) {
    return EnvelopeCodec.encode(envelope);
  }

  /**
   * Encodes a resource as a record of the log.
   *
   * @param recordId unique id; a repeated append must use the same id
   * @param resource the resource
   * @param expectedVersion version of the resource that the appender last read
   * @return the bytes
   */
  public static Bytes encode(String recordId, Resource resource, OptionalLong expectedVersion) {
    return encode(envelope(recordId, resource, expectedVersion));
  }

  /**
   * Decodes a record of the log.
   *
   * @param content the bytes
   * @return the envelope
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_RECORD} if the bytes
   *     are truncated or malformed
   */
  public static RecordEnvelope decode(Bytes content) {
    return EnvelopeCodec.decode(content);
  }
}
