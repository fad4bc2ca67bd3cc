package org.cuminlatch.node.call;

import static org.cuminlatch.core.Preconditions.notNull;

import com.codahale.metrics.MetricRegistry;
import java.time.InstantSource;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipView;
import org.cuminlatch.core.move.CallOutcomeListener;
import org.cuminlatch.core.move.VersionShares;

/**
 * What a call path reads from the rest of the node; all of it must be safe for use by many threads.
 *
 * @param snapshot configuration in force
 * @param members known members; {@link MembershipView#members()} must be immutable
 * @param shares shares of the target versions
 * @param observer takes the outcomes of attempts
 * @param self the node's own member as announced
 * @param clock source of time
 * @param random source of unguessable numbers, such as {@link java.security.SecureRandom}
 * @param metrics registry for the counters
 */
public record CallPathInputs(
    Supplier<Snapshot> snapshot,
    MembershipView members,
    VersionShares shares,
    CallOutcomeListener observer,
    Supplier<Member> self,
    InstantSource clock,
    RandomGenerator random,
    MetricRegistry metrics) {

  /** Checks the fields. */
  public CallPathInputs {
    notNull(snapshot, "snapshot");
    notNull(members, "members");
    notNull(shares, "shares");
    notNull(observer, "observer");
    notNull(self, "self");
    notNull(clock, "clock");
    notNull(random, "random");
    notNull(metrics, "metrics");
  }
}
