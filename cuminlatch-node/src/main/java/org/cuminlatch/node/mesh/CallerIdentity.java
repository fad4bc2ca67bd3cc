package org.cuminlatch.node.mesh;

import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.account.AccountDirectory;
import org.cuminlatch.core.config.ClientAccount;
import org.cuminlatch.core.config.Route;

/**
 * Who has sent a request, by the key that it bears.
 *
 * @param account client account that holds the key; empty if callers need none
 * @param hidesCredentials whether targets must not see the key, and learn the account from the mesh
 *     only
 */
record CallerIdentity(Optional<ClientAccount> account, boolean hidesCredentials) {

  /** A caller without a valid key on a route that needs one. */
  static final CallerIdentity UNKNOWN = new CallerIdentity(Optional.empty(), true);

  private static final CallerIdentity WITHOUT_ACCOUNTS =
      new CallerIdentity(Optional.empty(), false);

  /** Authentication scheme of RFC 6750; the case of its name does not matter. */
  private static final String SCHEME = "Bearer ";

  /**
   * Identifies a caller.
   *
   * @param authorization values of the Authorization header
   * @param accounts accounts of the configuration in force
   * @param route route of the request
   * @return the caller, {@link #UNKNOWN} if it must be rejected
   */
  static CallerIdentity of(List<String> authorization, AccountDirectory accounts, Route route) {
    if (accounts.isEmpty()) {
      return WITHOUT_ACCOUNTS;
    }
    Optional<ClientAccount> account = key(authorization).flatMap(accounts::holderOf);
    return account.isEmpty() && !route.policy().publicAccess()
        ? UNKNOWN
        : new CallerIdentity(account, true);
  }

  private static Optional<String> key(List<String> authorization) {
    return authorization.size() == 1
            && authorization.get(0).regionMatches(true, 0, SCHEME, 0, SCHEME.length())
        ? Optional.of(authorization.get(0).substring(SCHEME.length()).trim())
        : Optional.empty();
  }

  /** Returns the priority of the caller's calls on a route. */
  int priorityOn(Route route) {
    return account.stream()
        .flatMapToInt(holder -> holder.priority().stream())
        .findFirst()
        .orElse(route.policy().priority());
  }

  /** Returns the weight of the account in the shares of slots: its quota, 0 if it has none. */
  double weight() {
    return account.flatMap(ClientAccount::quota).map(ClientAccount.Quota::perSecond).orElse(0.0);
  }

  /** Returns the name of the account, which is empty if there is none. */
  String accountName() {
    return account.map(ClientAccount::name).orElse("");
  }
}
