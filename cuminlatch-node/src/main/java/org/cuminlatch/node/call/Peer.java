package org.cuminlatch.node.call;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.wire.call.CallTransport;
import org.cuminlatch.wire.proto.call.CallFrame;

/**
 * The connections to one other node.
 *
 * <p>A connection that carries attempts and brings nothing is pinged. If no answer comes a fresh
 * one is opened and pinged: the old one is then given up, and the peer is blamed only if the fresh
 * one stays silent as well.
 */
final class Peer {

  static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  static final Duration PING_AFTER = Duration.ofMillis(200);
  static final Duration PING_TIMEOUT = Duration.ofMillis(500);
  static final Duration IDLE_PING = Duration.ofSeconds(10);
  static final Duration UNUSED_CLOSE = Duration.ofSeconds(60);

  private final Address address;
  private final CallTransport transport;
  private final InstantSource clock;
  private final List<Suspect> suspects = new ArrayList<>();
  private PeerConnection current;

  Peer(Address address, CallTransport transport, InstantSource clock) {
    this.address = address;
    this.transport = transport;
    this.clock = clock;
  }

  /** Sends an attempt's first frame on a usable connection, opening one if there is none. */
  void carry(OutgoingAttempt attempt, CallFrame first) {
    while (!usable().carry(attempt, first)) {
      Thread.onSpinWait();
    }
  }

  private synchronized PeerConnection usable() {
    if (current == null || !current.isUsable()) {
      current = open();
    }
    return current;
  }

  private PeerConnection open() {
    PeerConnection opening = new PeerConnection(clock);
    transport
        .connect(address, CONNECT_TIMEOUT, opening)
        .whenComplete(
            (channel, error) -> {
              if (error == null) {
                opening.opened(channel);
              } else {
                opening.end(true);
              }
            });
    return opening;
  }

  /** Looks for silent connections. */
  void check(Instant now) {
    judge(now).forEach(Suspect::end);
    checkCurrent(now);
  }

  /** Forgives the time in which this process itself stood still. */
  synchronized void forgive(Instant now) {
    if (current != null) {
      current.forgive(now);
    }
  }

  private synchronized List<Suspect> judge(Instant now) {
    List<Suspect> judged = suspects.stream().filter(suspect -> suspect.isDecided(now)).toList();
    suspects.removeAll(judged);
    return judged;
  }

  private synchronized void checkCurrent(Instant now) {
    if (current == null || !current.isOpen() || !suspects.isEmpty()) {
      return;
    }
    if (current.isPinged()) {
      suspectIfSilent(now);
    } else if (current.carriesAttempts()) {
      if (current.quietFor(now).compareTo(PING_AFTER) > 0) {
        current.ping(now);
      }
    } else if (current.unusedFor(now).compareTo(UNUSED_CLOSE) > 0) {
      current.end(false);
    } else if (current.quietFor(now).compareTo(IDLE_PING) > 0) {
      current.ping(now);
    }
  }

  private void suspectIfSilent(Instant now) {
    if (current.pingedFor(now).compareTo(PING_TIMEOUT) <= 0) {
      return;
    }
    PeerConnection old = current;
    current = open();
    current.ping(now);
    suspects.add(new Suspect(old, current, now));
  }

  synchronized void close() {
    suspects.forEach(suspect -> suspect.old().end(false));
    if (current != null) {
      current.end(false);
    }
  }

  private record Suspect(PeerConnection old, PeerConnection fresh, Instant since) {

    void end() {
      boolean answered = fresh.hasReceivedSince(since);
      old.end(!answered);
      if (!answered) {
        fresh.end(true);
      }
    }

    boolean isDecided(Instant now) {
      return !fresh.isUsable()
          || fresh.hasReceivedSince(since)
          || Duration.between(since, now).compareTo(CONNECT_TIMEOUT.plus(PING_TIMEOUT)) > 0;
    }
  }
}
