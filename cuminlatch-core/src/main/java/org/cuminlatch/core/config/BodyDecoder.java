package org.cuminlatch.core.config;

/** Decodes record bodies; the decoding rules of a schema version never change. */
@FunctionalInterface
public interface BodyDecoder {

  /**
   * Decodes a body; the same bytes give the same result in every release that supports the schema
   * version.
   *
   * @param kind record kind
   * @param body the body with its schema version
   * @return the resource
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_RECORD} if the body
   *     is malformed or the kind has no such schema version
   */
  Resource decode(String kind, SchemaBody body);
}
