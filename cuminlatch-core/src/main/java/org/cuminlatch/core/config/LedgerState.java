package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;

/**
 * Complete state of the fold in canonical order; the same on every node, whatever schema versions
 * the node can read.
 *
 * @param version configuration version
 * @param resources all resources, ascending by key
 * @param services current target versions, ascending by service
 * @param recordIds ids of the most recently decided records, oldest first
 */
public record LedgerState(
    long version,
    List<StoredResource> resources,
    List<ServiceAssignment> services,
    List<String> recordIds) {

  /** Validates the components and copies the lists. */
  public LedgerState {
    notNegative(version, "version");
    resources = List.copyOf(notNull(resources, "resources"));
    services = List.copyOf(notNull(services, "services"));
    recordIds = List.copyOf(notNull(recordIds, "recordIds"));
  }
}
