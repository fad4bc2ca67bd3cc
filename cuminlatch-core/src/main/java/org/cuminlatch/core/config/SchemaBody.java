package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * A resource encoded in one schema version.
 *
 * @param schemaVersion version of the schema, starting at 1
 * @param content the encoded resource
 */
public record SchemaBody(int schemaVersion, Bytes content) {

  /** Validates the components. */
  public SchemaBody {
    check(schemaVersion >= 1, "schemaVersion", "must be at least 1");
    notNull(content, "content");
  }
}
