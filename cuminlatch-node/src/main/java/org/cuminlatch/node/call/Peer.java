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
  static final Duration PING_TIMEOUT = Duration.ofSeconds(1);
  static final Duration SUSPECT_GRACE = Duration.ofMillis(500);
  static final Duration IDLE_PING = Duration.ofSeconds(10);
  static final Duration UNUSED_CLOSE = Duration.ofSeconds(60);

  private final Address address;
  private final CallTransport transport;
  private final InstantSource clock;
  private final List<Suspect> suspects = new ArrayList<>();
  private final List<PeerConnection> older = new ArrayList<>();
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
    checkConnections(now);
  }

  /** Forgives the time in which this process itself stood still. */
  synchronized void forgive(Instant now) {
    suspects.clear();
    older.forEach(connection -> connection.forgive(now));
    if (current != null) {
      current.forgive(now);
    }
  }

  private synchronized List<Suspect> judge(Instant now) {
    List<Suspect> judged = suspects.stream().filter(suspect -> suspect.isDecided(now)).toList();
    suspects.removeAll(judged);
    return judged;
  }

  private synchronized void checkConnections(Instant now) {
    older.removeIf(connection -> !connection.isUsable());
    if (!suspects.isEmpty()) {
      return;
    }
    for (PeerConnection connection : List.copyOf(older)) {
      if (connection.carriesAttempts()) {
        checkInUse(connection, now);
      } else {
        connection.end(false);
      }
    }
    if (current != null && current.isOpen()) {
      checkCurrent(now);
    }
  }

  private void checkCurrent(Instant now) {
    if (current.isPinged() || current.carriesAttempts()) {
      checkInUse(current, now);
    } else if (current.unusedFor(now).compareTo(UNUSED_CLOSE) > 0) {
      current.end(false);
    } else if (current.quietFor(now).compareTo(IDLE_PING) > 0) {
      current.ping(now);
    }
  }

  private void checkInUse(PeerConnection connection, Instant now) {
    if (connection.isPinged()) {
      if (connection.pingedFor(now).compareTo(PING_TIMEOUT) > 0) {
        suspect(connection, now);
      }
    } else if (connection.quietFor(now).compareTo(PING_AFTER) > 0) {
      connection.ping(now);
    }
  }

  private void suspect(PeerConnection silent, Instant now) {
    if (silent == current) {
      older.add(silent);
      current = open();
    }
    current.ping(now);
    suspects.add(new Suspect(silent, current, now));
  }

  synchronized void close() {
    older.forEach(connection -> connection.end(false));
    if (current != null) {
      current.end(false);
    }
  }

  private record Suspect(PeerConnection old, PeerConnection fresh, Instant since) {

    void end() {
      if (old.hasReceivedSince(since)) {
        return;
      }
      boolean answered = fresh.hasReceivedSince(since);
      old.end(!answered);
      if (!answered) {
        fresh.end(true);
      }
    }

    boolean isDecided(Instant now) {
      return old.hasReceivedSince(since)
          || !fresh.isUsable()
          || fresh.hasReceivedSince(since) && isOlderThan(SUSPECT_GRACE, now)
          || isOlderThan(CONNECT_TIMEOUT.plus(PING_TIMEOUT), now);
    }

    private boolean isOlderThan(Duration age, Instant now) {
      return Duration.between(since, now).compareTo(age) > 0;
    }
  }
}
