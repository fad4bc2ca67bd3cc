package org.cuminlatch.node.control;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.Readiness;
import org.cuminlatch.core.config.VersionFloor;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.MembershipEngine;
import org.cuminlatch.core.membership.MembershipMessage.FloorAnswer;
import org.cuminlatch.wire.log.LogClient;
import org.cuminlatch.wire.log.LogStreams;

/**
 * Feeds the floor of a started node with the answers of its peers.
 *
 * <p>Where the peers do not suffice, as after a restart of the whole mesh, the node asks the log
 * for its end, after a random delay so that a herd does not ask at once.
 */
final class FloorWatch {

  private static final Duration PEER_PATIENCE = Duration.ofSeconds(2);
  private static final Duration MAX_ASK_INTERVAL = Duration.ofSeconds(8);

  private final VersionFloor floor = new VersionFloor();
  private final LogClient log;
  private final Executor control;
  private final RandomGenerator random;
  private Instant askAt;
  private boolean ready;

  FloorWatch(LogClient log, Executor control, RandomGenerator random, Instant startedAt) {
    this.log = notNull(log, "log");
    this.control = notNull(control, "control");
    this.random = notNull(random, "random");
    this.askAt = notNull(startedAt, "startedAt").plus(PEER_PATIENCE).plus(jitter());
  }

  long floor() {
    return floor.floor();
  }

  /** Decides whether the node may serve with a version. */
  Readiness onTick(MembershipEngine membership, long version, Instant now) {
    if (ready) {
      return floor.readiness(version);
    }
    Collection<Member> members = membership.members();
    floor.onLivePeers(members.size() - 1);
    membership.floorAnswers().forEach(answer -> take(answer, membership));
    Readiness readiness = floor.readiness(version);
    ready = readiness.isReady();
    if (!ready && !now.isBefore(askAt)) {
      askAt = now.plus(PEER_PATIENCE).plus(jitter());
      askLog();
    }
    return readiness;
  }

  private void take(FloorAnswer answer, MembershipEngine membership) {
    boolean ready =
        membership
            .member(answer.instance())
            .filter(peer -> peer.phase() != Phase.STARTING)
            .isPresent();
    OptionalLong remembered =
        answer.rememberedVersion() > 0
            ? OptionalLong.of(answer.rememberedVersion())
            : OptionalLong.empty();
    floor.onPeerAnswer(answer.instance(), remembered, answer.ownVersion(), ready);
  }

  private void askLog() {
    log.extent(LogStreams.CONFIGURATION)
        .thenAcceptAsync(extent -> floor.onLogEnd(extent.nextOffset()), control);
  }

  private Duration jitter() {
    return Duration.ofMillis(random.nextLong(MAX_ASK_INTERVAL.toMillis()));
  }
}
