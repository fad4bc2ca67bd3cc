package org.cuminlatch.cli.publish;

import java.util.List;
import java.util.OptionalLong;
import org.cuminlatch.core.config.Resource;

/**
 * Resources to publish, in the order of publication.
 *
 * @param entries the resources
 */
public record Publication(List<Entry> entries) {

  /** Copies the list. */
  public Publication {
    entries = List.copyOf(entries);
  }

  /**
   * One resource to publish.
   *
   * @param key position in the file, as in {@code route[1]}
   * @param resource the resource
   * @param expectedVersion current version of the resource that the operator expects, if given
   */
  public record Entry(String key, Resource resource, OptionalLong expectedVersion) {}
}
