package org.cuminlatch.core.config;

/**
 * Encodes and decodes the state of the fold; equal states encode to equal bytes in every release.
 */
public interface CheckpointCodec {

  /**
   * Encodes a state.
   *
   * @param state the state
   * @return the bytes
   */
  Bytes encode(LedgerState state);

  /**
   * Encodes one resource; the state hash is taken over these bytes.
   *
   * @param resource the resource
   * @return the bytes
   */
  Bytes encodeResource(StoredResource resource);

  /**
   * Decodes a state.
   *
   * @param content the bytes
   * @return the state
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_CHECKPOINT} if the
   *     bytes are malformed
   */
  LedgerState decode(Bytes content);
}
