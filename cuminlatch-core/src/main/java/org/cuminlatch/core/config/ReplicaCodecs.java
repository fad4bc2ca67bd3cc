package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

/**
 * Decoders and encoders that a replica uses.
 *
 * @param envelopes decoder of envelopes
 * @param bodies decoder of bodies
 * @param checkpoints codec of the state in checkpoints
 */
public record ReplicaCodecs(
    EnvelopeDecoder envelopes, BodyDecoder bodies, CheckpointCodec checkpoints) {

  /** Validates the components. */
  public ReplicaCodecs {
    notNull(envelopes, "envelopes");
    notNull(bodies, "bodies");
    notNull(checkpoints, "checkpoints");
  }
}
