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

/** Entry points to the protobuf encoding of configuration records and checkpoints. */
public final class ConfigurationCodecs {

  /** Schema versions that this release understands. */
  public static final Set<Integer> SCHEMA_VERSIONS = Set.of(1, 2);

  private ConfigurationCodecs() {}

  /**
   * Returns the decoders and encoders that a replica works with.
   *
   * @return the codecs
   */
  public static ReplicaCodecs protobuf() {
    return new ReplicaCodecs(EnvelopeCodec::decode, BodyCodec::decode, new LedgerCodec());
  }

  /**
   * Creates an empty replica that reads all schema versions of this release.
   *
   * @param events takes the verdict on each record folded, unreadable resources and gaps
   * @return the replica at version 0
   */
  public static ConfigurationReplica replica(Consumer<FoldEvent> events) {
    return ConfigurationReplicas.create(protobuf(), SCHEMA_VERSIONS, events);
  }

  /**
   * Puts a resource into an envelope, in every schema version that says the same.
   *
   * @param recordId unique id; an append that is repeated keeps its id
   * @param resource the resource
   * @param expectedVersion version of the resource that the appender last saw; for a stop or an
   *     outcome that of the move
   * @return the envelope with its references
   */
  public static RecordEnvelope envelope(
      String recordId, Resource resource, OptionalLong expectedVersion) {
    return EnvelopeFactory.of(recordId, resource, expectedVersion);
  }

  /**
   * Encodes an envelope as it is appended to the log.
   *
   * @param envelope the envelope
   * @return the bytes
   */
  public static Bytes encode(RecordEnvelope envelope) {
    return EnvelopeCodec.encode(envelope);
  }

  /**
   * Encodes a resource as it is appended to the log.
   *
   * @param recordId unique id; an append that is repeated keeps its id
   * @param resource the resource
   * @param expectedVersion version of the resource that the appender last saw
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
   *     are cut short or malformed
   */
  public static RecordEnvelope decode(Bytes content) {
    return EnvelopeCodec.decode(content);
  }
}
