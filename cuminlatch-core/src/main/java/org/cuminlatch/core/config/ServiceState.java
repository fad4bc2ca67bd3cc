package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Set;

/**
 * Target versions of a service as the log has them.
 *
 * @param service name of the service
 * @param versions all accepted target versions
 * @param current the target version that holds the traffic outside of moves
 */
public record ServiceState(String service, Set<String> versions, String current) {

  /** Checks the fields and copies the versions. */
  public ServiceState {
    notBlank(service, "service");
    versions = Set.copyOf(notNull(versions, "versions"));
    notBlank(current, "current");
    check(versions.contains(current), "current", "must be one of the versions");
  }
}
