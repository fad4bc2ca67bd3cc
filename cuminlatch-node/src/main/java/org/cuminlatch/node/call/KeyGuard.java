package org.cuminlatch.node.call;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.ServiceState;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.VersionShares.VersionShare;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.retry.IdempotencyKey;
import org.cuminlatch.core.retry.IdempotencyTable;
import org.cuminlatch.core.route.KeyOwnershipHistory;
import org.cuminlatch.core.route.ServiceIndex;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.FailureReason;
import org.cuminlatch.wire.proto.call.Load;

/**
 * Decides at the node beside a target whether a request with an Idempotency-Key may run. Guarded by
 * the lock of its {@link TargetGate}.
 */
final class KeyGuard {

  private final CallPathInputs inputs;
  private final IdempotencyTable table;
  private final KeyOwnershipHistory history = new KeyOwnershipHistory();
  private Collection<Member> members = List.of();
  private Map<String, List<VersionShare>> shares = Map.of();

  KeyGuard(CallPathInputs inputs) {
    this.inputs = inputs;
    this.table = new IdempotencyTable(inputs.clock().instant());
  }

  /** Takes note of changed members and shares. */
  void observe(Instant now) {
    Member self = inputs.self().get();
    Snapshot snapshot = inputs.snapshot().get();
    Collection<Member> presentMembers = inputs.members().members();
    Map<String, List<VersionShare>> presentShares = shares(snapshot, self.service());
    if (presentMembers == members && presentShares.equals(shares)) {
      return;
    }
    members = presentMembers;
    shares = presentShares;
    ServiceState state = snapshot.services().get(self.service());
    history.observe(
        new KeyOwnershipHistory.View(
            now,
            ServiceIndex.of(presentMembers),
            presentShares,
            state == null ? "" : state.current()));
  }

  private Map<String, List<VersionShare>> shares(Snapshot snapshot, String service) {
    Map<String, List<VersionShare>> byRoute = new HashMap<>();
    for (Route route : snapshot.routes().values()) {
      if (route.service().equals(service)) {
        byRoute.put(route.name(), inputs.shares().sharesOf(snapshot, route));
      }
    }
    return byRoute;
  }

  static Optional<IdempotencyKey> key(Begin begin) {
    if (begin.getIdempotencyKey().isEmpty()) {
      return Optional.empty();
    }
    String scope = begin.getRoute() + " " + begin.getMethod() + " " + begin.getPath();
    return Optional.of(new IdempotencyKey(scope, begin.getIdempotencyKey()));
  }

  /** Returns since when this node has owned a key; empty if another one owns it. */
  Optional<Instant> ownedSince(Begin begin) {
    Member self = inputs.self().get();
    return history.ownedSince(
        self.instance(), self.service(), begin.getRoute(), begin.getIdempotencyKey());
  }

  IdempotencyTable.Claim claim(
      IdempotencyKey key, AttemptId attempt, Instant ownedSince, Instant now) {
    return table.claim(key, attempt, ownedSince, now);
  }

  /** Answers a request that may not run: the earlier one's answer if it is kept, else a failure. */
  static CallFrame reply(
      AttemptId attempt, IdempotencyTable.Claim claim, EndedAttempts ended, Load load) {
    Optional<CallFrame> kept = claim.earlier().flatMap(ended::answer).filter(CallFrame::hasAnswer);
    if (kept.isPresent()) {
      return CallFrames.of(attempt).setAnswer(kept.get().getAnswer()).build();
    }
    FailureReason reason =
        claim.decision() == IdempotencyTable.Decision.SEEN
            ? FailureReason.KEY_SEEN
            : FailureReason.KEY_IN_DOUBT;
    return GateFrames.failure(attempt, reason, load);
  }

  void notRun(RunningAttempt attempt) {
    key(attempt.begin()).ifPresent(key -> table.release(key, attempt.id()));
  }
}
