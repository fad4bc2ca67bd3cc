package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * Who made a request.
 *
 * @param nested whether a target made it while it ran another request
 * @param account client account that sent it; empty if there is none
 * @param weight weight of the account in the shares of a target's slots; 0 if none is configured
 */
public record RequestOrigin(boolean nested, String account, double weight) {

  /** A client without an account. */
  public static final RequestOrigin CLIENT = new RequestOrigin(false, "", 0);

  /** Validates the components. */
  public RequestOrigin {
    notNull(account, "account");
    check(weight >= 0 && weight < Double.POSITIVE_INFINITY, "weight", "must not be negative");
  }
}
