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

/** Sends attempts to the targets' nodes, over one {@link Peer} for each address. */
final class PeerPool {

  private static final Duration PROCESS_PAUSE_THRESHOLD = Duration.ofMillis(250);

  private final CallTransport transport;
  private final InstantSource clock;
  private final Supplier<Member> self;
  private final PeerConnection localConnection;
  private final Map<Address, Peer> peers = new ConcurrentHashMap<>();
  private Instant checkedAt = Instant.MAX;

  PeerPool(
      CallTransport transport,
      InstantSource clock,
      Supplier<Member> self,
      CallFrameHandler localGate) {
    this.transport = transport;
    this.clock = clock;
    this.self = self;
    this.localConnection = new PeerConnection(clock);
    localConnection.onOpened(LocalChannel.connect(localConnection, localGate));
  }

  /** Sends an attempt's first frame to the target's node. */
  void begin(OutgoingAttempt attempt, CallFrame firstFrame) {
    sendFirst(attempt, firstFrame);
  }

  /** Requests the answer of an attempt whose connection was lost on a usable connection. */
  void rejoin(OutgoingAttempt attempt) {
    Rejoin rejoin = Rejoin.newBuilder().setAgeMicros(ageMicros(attempt)).build();
    sendFirst(attempt, CallFrames.of(attempt.id()).setRejoin(rejoin).build());
  }

  /** Cancels an attempt; the target's node replies whether it was not run. */
  void cancel(OutgoingAttempt attempt) {
    Cancel cancel = Cancel.newBuilder().setAgeMicros(ageMicros(attempt)).build();
    attempt.connection().send(CallFrames.of(attempt.id()).setCancel(cancel).build());
  }

  private long ageMicros(OutgoingAttempt attempt) {
    return attempt.age(clock.instant()).toNanos() / 1000;
  }

  private void sendFirst(OutgoingAttempt attempt, CallFrame firstFrame) {
    Member target = attempt.target();
    if (target.instance().equals(self.get().instance())) {
      localConnection.sendFirst(attempt, firstFrame);
      return;
    }
    peers
        .computeIfAbsent(target.callAddress(), address -> new Peer(address, transport, clock))
        .sendFirst(attempt, firstFrame);
  }

  /**
   * Checks the connections. Must be called by one thread, at intervals well below {@link
   * #PROCESS_PAUSE_THRESHOLD}: a longer interval is treated as a pause of this process, and the
   * connections' timers are restarted.
   */
  void check(Instant now) {
    boolean processPaused = checkedAt.isBefore(now.minus(PROCESS_PAUSE_THRESHOLD));
    checkedAt = now;
    for (Peer peer : peers.values()) {
      if (processPaused) {
        peer.restartTimers(now);
      } else {
        peer.check(now);
      }
    }
  }

  void close() {
    peers.values().forEach(Peer::close);
  }
}
