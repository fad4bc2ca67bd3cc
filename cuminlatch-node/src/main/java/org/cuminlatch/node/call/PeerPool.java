package org.cuminlatch.node.call;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.wire.call.CallFrameHandler;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.call.CallTransport;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Cancel;
import org.cuminlatch.wire.proto.call.Rejoin;

/** Carries attempts to the nodes beside the targets. */
final class PeerPool {

  private static final Duration OWN_PAUSE = Duration.ofMillis(250);

  private final CallTransport transport;
  private final InstantSource clock;
  private final Supplier<Member> self;
  private final PeerConnection local;
  private final Map<Address, Peer> peers = new ConcurrentHashMap<>();
  private Instant checkedAt = Instant.MAX;

  PeerPool(
      CallTransport transport,
      InstantSource clock,
      Supplier<Member> self,
      CallFrameHandler ownGate) {
    this.transport = transport;
    this.clock = clock;
    this.self = self;
    this.local = new PeerConnection(clock);
    local.opened(LocalChannel.join(local, ownGate));
  }

  /** Sends an attempt's first frame to the node beside its target. */
  void begin(OutgoingAttempt attempt, CallFrame first) {
    carry(attempt, first);
  }

  /** Asks on the present connection for the answer of an attempt whose connection was lost. */
  void rejoin(OutgoingAttempt attempt) {
    Rejoin rejoin = Rejoin.newBuilder().setAgeMicros(ageMicros(attempt)).build();
    carry(attempt, CallFrames.of(attempt.id()).setRejoin(rejoin).build());
  }

  /** Withdraws an attempt; the peer says whether it was run. */
  void cancel(OutgoingAttempt attempt) {
    Cancel cancel = Cancel.newBuilder().setAgeMicros(ageMicros(attempt)).build();
    attempt.connection().send(CallFrames.of(attempt.id()).setCancel(cancel).build());
  }

  private long ageMicros(OutgoingAttempt attempt) {
    return attempt.age(clock.instant()).toNanos() / 1000;
  }

  private void carry(OutgoingAttempt attempt, CallFrame first) {
    Member target = attempt.target();
    if (target.instance().equals(self.get().instance())) {
      local.carry(attempt, first);
      return;
    }
    peers
        .computeIfAbsent(target.callAddress(), address -> new Peer(address, transport, clock))
        .carry(attempt, first);
  }

  /** Looks for silent connections; must be called often and by one thread. */
  void check(Instant now) {
    boolean stoodStill = checkedAt.isBefore(now.minus(OWN_PAUSE));
    checkedAt = now;
    for (Peer peer : peers.values()) {
      if (stoodStill) {
        peer.forgive(now);
      } else {
        peer.check(now);
      }
    }
  }

  void close() {
    peers.values().forEach(Peer::close);
  }
}
