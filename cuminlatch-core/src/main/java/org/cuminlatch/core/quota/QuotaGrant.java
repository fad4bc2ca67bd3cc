package org.cuminlatch.core.quota;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;

/**
 * Answer of an allocator to the need for tokens of one account.
 *
 * @param account name of the account
 * @param tokens number of tokens granted
 * @param exhausted whether the quota left fewer tokens than were asked for
 */
public record QuotaGrant(String account, int tokens, boolean exhausted) {

  /** Validates the components. */
  public QuotaGrant {
    notBlank(account, "account");
    check(tokens >= 0, "tokens", "must not be negative");
  }
}
