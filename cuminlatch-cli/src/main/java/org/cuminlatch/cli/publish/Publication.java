package org.cuminlatch.cli.publish;

import java.util.List;
import java.util.OptionalLong;
import org.cuminlatch.core.config.Resource;

/**
 * What an operator wants to publish, in the order of publication.
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
   * @param key place in the file, as in {@code route[1]}
   * @param resource the resource
   * @param expectedVersion version of the resource that the operator last saw, if given
   */
  public record Entry(String key, Resource resource, OptionalLong expectedVersion) {}
}
