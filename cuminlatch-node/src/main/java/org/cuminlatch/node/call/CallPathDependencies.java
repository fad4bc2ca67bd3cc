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
 * What a call path uses of the rest of the node. All of it must be thread-safe.
 *
 * @param snapshot configuration in force
 * @param members members of the mesh; {@link MembershipView#members()} must return an immutable
 *     collection, and a new one after each change
 * @param shares shares of the target versions
 * @param outcomeListener receives the outcomes of attempts at the local target
 * @param self this node as announced to the mesh
 * @param clock source of time
 * @param random source of unpredictable numbers, such as {@link java.security.SecureRandom}
 * @param metrics registry for the metrics of the call path
 */
public record CallPathDependencies(
    Supplier<Snapshot> snapshot,
    MembershipView members,
    VersionShares shares,
    CallOutcomeListener outcomeListener,
    Supplier<Member> self,
    InstantSource clock,
    RandomGenerator random,
    MetricRegistry metrics) {

  /** Validates the components. */
  public CallPathDependencies {
    notNull(snapshot, "snapshot");
    notNull(members, "members");
    notNull(shares, "shares");
    notNull(outcomeListener, "outcomeListener");
    notNull(self, "self");
    notNull(clock, "clock");
    notNull(random, "random");
    notNull(metrics, "metrics");
  }
}
