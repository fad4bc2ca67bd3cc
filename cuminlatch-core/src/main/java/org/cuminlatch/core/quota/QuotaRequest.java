package org.cuminlatch.core.quota;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;

/**
 * Request of a node to the allocator of a group of accounts; also its vote for the allocator.
 *
 * @param node node that sends the request
 * @param number number by which the node recognizes the answer
 * @param group group of accounts
 * @param counts whether the vote counts: no other allocator may still count an earlier one
 * @param started whether the process of the node has started just now
 * @param needs accounts for which the node needs tokens or returns some
 */
public record QuotaRequest(
    String node, long number, int group, boolean counts, boolean started, List<Need> needs) {

  /** Validates the components. */
  public QuotaRequest {
    notBlank(node, "node");
    check(group >= 0, "group", "must not be negative");
    needs = List.copyOf(notNull(needs, "needs"));
  }

  /**
   * Tokens of one account.
   *
   * @param account name of the account
   * @param wanted number of tokens that the node asks for
   * @param waiting number of requests that wait for these tokens and will use them on arrival
   * @param released number of tokens of earlier grants that the node has given to requests or has
   *     let expire since its last report, so that it no longer holds them
   * @param returned number of tokens of earlier grants with which no request has run or will run
   */
  public record Need(String account, int wanted, int waiting, int released, int returned) {

    /** Validates the components. */
    public Need {
      notBlank(account, "account");
      check(wanted >= 0, "wanted", "must not be negative");
      check(waiting >= 0, "waiting", "must not be negative");
      check(released >= 0, "released", "must not be negative");
      check(returned >= 0, "returned", "must not be negative");
    }
  }
}
