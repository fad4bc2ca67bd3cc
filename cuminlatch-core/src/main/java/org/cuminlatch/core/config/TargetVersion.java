package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notBlank;

/**
 * A version of a service that instances may announce and that moves may name.
 *
 * <p>The first target version accepted for a service receives all of its traffic; a later one
 * receives traffic only through a {@link Move}.
 *
 * @param service name of the service
 * @param version name of the version
 */
public record TargetVersion(String service, String version) implements Resource {

  /** Validates the components. */
  public TargetVersion {
    notBlank(service, "service");
    notBlank(version, "version");
  }

  @Override
  public String name() {
    return service + "@" + version;
  }
}
