package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;

/**
 * A body that the fold keeps, with the version and the references of its record.
 *
 * @param version version of the resource at that record
 * @param references resources that the record refers to
 * @param body the body with its schema version
 */
public record StoredBody(long version, List<ResourceKey> references, SchemaBody body) {

  /** Validates the components and copies the list. */
  public StoredBody {
    references = List.copyOf(notNull(references, "references"));
    notNull(body, "body");
  }
}
