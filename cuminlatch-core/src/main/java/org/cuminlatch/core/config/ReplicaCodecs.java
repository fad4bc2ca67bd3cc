package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

/**
 * Decoders and encoders that a replica works with.
 *
 * @param envelopes decoder of envelopes
 * @param bodies decoder of bodies
 * @param checkpoints codec of the state
 */
public record ReplicaCodecs(
    EnvelopeDecoder envelopes, BodyDecoder bodies, CheckpointCodec checkpoints) {

  /** Checks the fields. */
  public ReplicaCodecs {
    notNull(envelopes, "envelopes");
    notNull(bodies, "bodies");
    notNull(checkpoints, "checkpoints");
  }
}
