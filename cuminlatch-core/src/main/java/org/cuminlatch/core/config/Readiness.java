package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notBlank;

/**
 * Whether an instance may serve with the configuration that it holds.
 *
 * @param isReady whether it may serve
 * @param reason one line that explains the decision
 */
public record Readiness(boolean isReady, String reason) {

  /** Validates the component. */
  public Readiness {
    notBlank(reason, "reason");
  }
}
