package org.cuminlatch.node.mesh;

import java.time.Instant;
import java.util.function.Predicate;
import org.cuminlatch.core.admission.NestedRoutes;
import org.cuminlatch.core.admission.RequestOrigin;
import org.cuminlatch.core.config.Route;

/**
 * Tells who made the requests that arrive at the callers' address: clients, or the local target
 * while it runs another request.
 *
 * <p>With client accounts, clients need a key and targets have none, so that a request without an
 * account is a call of the target. Otherwise, the routes of such calls are learned.
 */
final class CallOrigins {

  private final NestedRoutes nestedRoutes = new NestedRoutes();
  private final Predicate<Instant> targetRunsUntil;

  /**
   * Creates an instance.
   *
   * @param targetRunsUntil whether the local target runs a request with about the given deadline
   */
  CallOrigins(Predicate<Instant> targetRunsUntil) {
    this.targetRunsUntil = targetRunsUntil;
  }

  /** Records a request of a caller that has said when it stops waiting. */
  void observe(CallerIdentity caller, Route route, Instant callerDeadline) {
    if (!caller.hidesCredentials()) {
      nestedRoutes.observe(route.name(), targetRunsUntil.test(callerDeadline));
    }
  }

  /** Returns the origin of a request; a caller with credentials is a client, valid or not. */
  RequestOrigin of(CallerIdentity caller, boolean hasCredentials, Route route) {
    boolean nested =
        caller.hidesCredentials()
            ? caller.account().isEmpty() && !hasCredentials
            : nestedRoutes.isNested(route.name());
    return new RequestOrigin(nested, caller.accountName(), caller.weight());
  }
}
