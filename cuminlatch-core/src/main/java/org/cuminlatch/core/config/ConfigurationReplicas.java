package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Set;
import java.util.function.Consumer;

/** Factory of configuration replicas. */
public final class ConfigurationReplicas {

  private ConfigurationReplicas() {}

  /**
   * Creates an empty replica.
   *
   * @param codecs decoders and encoders
   * @param schemaVersions schema versions that the instance can read, including the base version
   * @param events receives the verdict on each folded record, unreadable resources and gaps
   * @return the replica at version 0
   */
  public static ConfigurationReplica create(
      ReplicaCodecs codecs, Set<Integer> schemaVersions, Consumer<FoldEvent> events) {
    notNull(codecs, "codecs");
    notNull(schemaVersions, "schemaVersions");
    notNull(events, "events");
    check(
        schemaVersions.contains(RecordEnvelope.BASE_SCHEMA_VERSION),
        "schemaVersions",
        "must contain the base version " + RecordEnvelope.BASE_SCHEMA_VERSION);
    return new FoldingReplica(codecs, schemaVersions, events);
  }
}
