package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Outcome of one attempt at a target, as evidence about its target version.
 *
 * @param route name of the route
 * @param service name of the service
 * @param version target version that served the attempt
 * @param result how the attempt ended
 * @param latency time from admission to the last byte of the answer
 * @param coldTarget whether the target was still within its cold start
 */
public record CallOutcome(
    String route,
    String service,
    String version,
    Result result,
    Duration latency,
    boolean coldTarget) {

  /** Validates the components. */
  public CallOutcome {
    notBlank(route, "route");
    notBlank(service, "service");
    notBlank(version, "version");
    notNull(result, "result");
    notNull(latency, "latency");
  }

  /** How an attempt ended, as far as the target version is concerned. */
  public enum Result {
    /** The target answered with a status 2xx or 3xx. */
    SUCCESS,
    /** The caller's own error, statuses 4xx; no evidence about the version. */
    CALLER_ERROR,
    /** The target failed: status 5xx, a broken answer or a timeout in the target. */
    FAILURE,
    /** The attempt did not reach the target; no evidence about the version. */
    NOT_RUN
  }
}
