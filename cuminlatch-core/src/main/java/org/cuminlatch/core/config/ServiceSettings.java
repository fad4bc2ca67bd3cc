package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Optional;

/**
 * Settings of a service in the configuration.
 *
 * @param healthPath path of the health check of its targets; empty if they have none
 * @param coldStart limit on the requests of its cold targets; empty if there is none
 */
public record ServiceSettings(Optional<String> healthPath, Optional<ColdStart> coldStart) {

  /** Settings of a service that the configuration does not mention. */
  public static final ServiceSettings NONE =
      new ServiceSettings(Optional.empty(), Optional.empty());

  /** Validates the components. */
  public ServiceSettings {
    notNull(healthPath, "healthPath");
    notNull(coldStart, "coldStart");
  }
}
