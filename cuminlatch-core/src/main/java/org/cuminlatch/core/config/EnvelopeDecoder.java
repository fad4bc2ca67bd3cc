package org.cuminlatch.core.config;

/** Decodes the envelope of a record. */
@FunctionalInterface
public interface EnvelopeDecoder {

  /**
   * Decodes an envelope; the same bytes give the same result in every release.
   *
   * @param content the encoded envelope
   * @return the envelope
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_RECORD} if the bytes
   *     are not a valid envelope
   */
  RecordEnvelope decode(Bytes content);
}
