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
 * Determines the lowest configuration version that a starting node may serve with, from the answers
 * of its peers.
 *
 * <p>If too few peers can answer, for example after a restart of the whole mesh, the node queries
 * the end offset of the configuration log instead. It does so after a random delay, so that the
 * nodes of a mass restart do not query the log at the same time.
 */
final class FloorTracker {

  private static final Duration PEER_ANSWER_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration MAX_QUERY_JITTER = Duration.ofSeconds(8);

  private final VersionFloor floor = new VersionFloor();
  private final LogClient log;
  private final Executor controlThread;
  private final RandomGenerator random;
  private Instant nextLogQueryAt;
  private boolean ready;

  FloorTracker(LogClient log, Executor controlThread, RandomGenerator random, Instant startedAt) {
    this.log = notNull(log, "log");
    this.controlThread = notNull(controlThread, "controlThread");
    this.random = notNull(random, "random");
    this.nextLogQueryAt = notNull(startedAt, "startedAt").plus(PEER_ANSWER_TIMEOUT).plus(jitter());
  }

  long floor() {
    return floor.floor();
  }

  /** Evaluates whether the node may serve with the given configuration version. */
  Readiness onTick(MembershipEngine membership, long version, Instant now) {
    if (ready) {
      return floor.readiness(version);
    }
    Collection<Member> members = membership.members();
    floor.onLivePeers(members.size() - 1);
    membership.floorAnswers().forEach(answer -> onFloorAnswer(answer, membership));
    Readiness readiness = floor.readiness(version);
    ready = readiness.isReady();
    if (!ready && !now.isBefore(nextLogQueryAt)) {
      nextLogQueryAt = now.plus(PEER_ANSWER_TIMEOUT).plus(jitter());
      queryLogEnd();
    }
    return readiness;
  }

  private void onFloorAnswer(FloorAnswer answer, MembershipEngine membership) {
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

  private void queryLogEnd() {
    log.extent(LogStreams.CONFIGURATION)
        .thenAcceptAsync(extent -> floor.onLogEnd(extent.nextOffset()), controlThread);
  }

  private Duration jitter() {
    return Duration.ofMillis(random.nextLong(MAX_QUERY_JITTER.toMillis()));
  }
}
