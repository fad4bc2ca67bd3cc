package org.cuminlatch.core.config;

/** Decodes the body of a record by the frozen rules of its schema version. */
@FunctionalInterface
public interface BodyDecoder {

  /**
   * Decodes a body; the same bytes give the same result in every release that knows the schema
   * version.
   *
   * @param kind name of the kind
   * @param body the body with its schema version
   * @return the resource
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_RECORD} if the body
   *     is malformed or the kind has no such schema version
   */
  Resource decode(String kind, SchemaBody body);
}
