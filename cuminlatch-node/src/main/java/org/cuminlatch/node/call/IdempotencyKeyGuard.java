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
 * Decides at the target's node whether a request with an Idempotency-Key may run. Not thread-safe;
 * guarded by the lock of its {@link TargetGate}.
 */
final class IdempotencyKeyGuard {

  private final CallPathDependencies dependencies;
  private final IdempotencyTable table;
  private final KeyOwnershipHistory history = new KeyOwnershipHistory();
  private Collection<Member> members = List.of();
  private Map<String, List<VersionShare>> shares = Map.of();

  IdempotencyKeyGuard(CallPathDependencies dependencies) {
    this.dependencies = dependencies;
    this.table = new IdempotencyTable(dependencies.clock().instant());
  }

  /** Records changes of the members and of the shares, which determine the owners of keys. */
  void observe(Instant now) {
    Member self = dependencies.self().get();
    Snapshot snapshot = dependencies.snapshot().get();
    Collection<Member> currentMembers = dependencies.members().members();
    Map<String, List<VersionShare>> currentShares = shares(snapshot, self.service());
    if (currentMembers == members && currentShares.equals(shares)) {
      return;
    }
    members = currentMembers;
    shares = currentShares;
    ServiceState state = snapshot.services().get(self.service());
    history.observe(
        new KeyOwnershipHistory.View(
            now,
            ServiceIndex.of(currentMembers),
            currentShares,
            state == null ? "" : state.current()));
  }

  private Map<String, List<VersionShare>> shares(Snapshot snapshot, String service) {
    Map<String, List<VersionShare>> byRoute = new HashMap<>();
    for (Route route : snapshot.routes().values()) {
      if (route.service().equals(service)) {
        byRoute.put(route.name(), dependencies.shares().sharesOf(snapshot, route));
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

  /** Returns since when this node has owned a key; empty if another node owns it. */
  Optional<Instant> ownedSince(Begin begin) {
    Member self = dependencies.self().get();
    return history.ownedSince(
        self.instance(), self.service(), begin.getRoute(), begin.getIdempotencyKey());
  }

  IdempotencyTable.Claim claim(
      IdempotencyKey key, AttemptId attempt, Instant ownedSince, Instant now) {
    return table.claim(key, attempt, ownedSince, now);
  }

  /**
   * Creates the reply to a request that may not run: the answer to the earlier request with the
   * same key if it is still stored, otherwise a failure.
   */
  static CallFrame reply(
      AttemptId attempt, IdempotencyTable.Claim claim, EndedAttempts ended, Load load) {
    Optional<CallFrame> storedAnswer =
        claim.earlier().flatMap(ended::answer).filter(CallFrame::hasAnswer);
    if (storedAnswer.isPresent()) {
      return CallFrames.of(attempt).setAnswer(storedAnswer.get().getAnswer()).build();
    }
    FailureReason reason =
        claim.decision() == IdempotencyTable.Decision.SEEN
            ? FailureReason.KEY_SEEN
            : FailureReason.KEY_IN_DOUBT;
    return GateFrames.failure(attempt, reason, load);
  }

  void releaseKey(RunningAttempt attempt) {
    key(attempt.begin()).ifPresent(key -> table.release(key, attempt.id()));
  }
}
