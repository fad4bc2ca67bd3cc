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
 * <p>A connection that has attempts and receives nothing is pinged. If the ping is not answered, a
 * new connection is opened and pinged. The old connection is then closed unless it has received
 * something meanwhile; the peer counts as failed only if the new connection receives nothing
 * either.
 */
final class Peer {

  static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  static final Duration PING_DELAY = Duration.ofMillis(200);
  static final Duration PING_TIMEOUT = Duration.ofSeconds(1);
  static final Duration SUSPECT_GRACE = Duration.ofMillis(500);
  static final Duration IDLE_PING_INTERVAL = Duration.ofSeconds(10);
  static final Duration UNUSED_CONNECTION_TIMEOUT = Duration.ofSeconds(60);

  private final Address address;
  private final CallTransport transport;
  private final InstantSource clock;
  private final List<SuspectedConnection> suspects = new ArrayList<>();
  private final List<PeerConnection> previousConnections = new ArrayList<>();
  private PeerConnection current;

  Peer(Address address, CallTransport transport, InstantSource clock) {
    this.address = address;
    this.transport = transport;
    this.clock = clock;
  }

  /** Sends an attempt's first frame on a usable connection; opens one if there is none. */
  void sendFirst(OutgoingAttempt attempt, CallFrame firstFrame) {
    while (!usableConnection().sendFirst(attempt, firstFrame)) {
      Thread.onSpinWait();
    }
  }

  private synchronized PeerConnection usableConnection() {
    if (current == null || !current.isUsable()) {
      current = open();
    }
    return current;
  }

  private PeerConnection open() {
    PeerConnection connection = new PeerConnection(clock);
    transport
        .connect(address, CONNECT_TIMEOUT, connection)
        .whenComplete(
            (channel, error) -> {
              if (error == null) {
                connection.onOpened(channel);
              } else {
                connection.end(true);
              }
            });
    return connection;
  }

  /** Checks for connections that receive nothing; pings, replaces or closes them. */
  void check(Instant now) {
    removeDecided(now).forEach(SuspectedConnection::end);
    checkConnections(now);
  }

  /** Restarts all timers after a pause of this process, which must not count against the peer. */
  synchronized void restartTimers(Instant now) {
    suspects.clear();
    previousConnections.forEach(connection -> connection.restartTimers(now));
    if (current != null) {
      current.restartTimers(now);
    }
  }

  private synchronized List<SuspectedConnection> removeDecided(Instant now) {
    List<SuspectedConnection> decided =
        suspects.stream().filter(suspect -> suspect.isDecided(now)).toList();
    suspects.removeAll(decided);
    return decided;
  }

  private synchronized void checkConnections(Instant now) {
    previousConnections.removeIf(connection -> !connection.isUsable());
    if (!suspects.isEmpty()) {
      return;
    }
    for (PeerConnection connection : List.copyOf(previousConnections)) {
      if (connection.hasAttempts()) {
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
    if (current.isPinged() || current.hasAttempts()) {
      checkInUse(current, now);
    } else if (current.unusedFor(now).compareTo(UNUSED_CONNECTION_TIMEOUT) > 0) {
      current.end(false);
    } else if (current.silentFor(now).compareTo(IDLE_PING_INTERVAL) > 0) {
      current.ping(now);
    }
  }

  private void checkInUse(PeerConnection connection, Instant now) {
    if (connection.isPinged()) {
      if (connection.pingedFor(now).compareTo(PING_TIMEOUT) > 0) {
        suspect(connection, now);
      }
    } else if (connection.silentFor(now).compareTo(PING_DELAY) > 0) {
      connection.ping(now);
    }
  }

  private void suspect(PeerConnection silentConnection, Instant now) {
    if (silentConnection == current) {
      previousConnections.add(silentConnection);
      current = open();
    }
    current.ping(now);
    suspects.add(new SuspectedConnection(silentConnection, current, now));
  }

  synchronized void close() {
    previousConnections.forEach(connection -> connection.end(false));
    if (current != null) {
      current.end(false);
    }
  }

  private record SuspectedConnection(
      PeerConnection oldConnection, PeerConnection newConnection, Instant since) {

    void end() {
      if (oldConnection.hasReceivedSince(since)) {
        return;
      }
      boolean newConnectionWorks = newConnection.hasReceivedSince(since);
      oldConnection.end(!newConnectionWorks);
      if (!newConnectionWorks) {
        newConnection.end(true);
      }
    }

    boolean isDecided(Instant now) {
      return oldConnection.hasReceivedSince(since)
          || !newConnection.isUsable()
          || newConnection.hasReceivedSince(since) && isOlderThan(SUSPECT_GRACE, now)
          || isOlderThan(CONNECT_TIMEOUT.plus(PING_TIMEOUT), now);
    }

    private boolean isOlderThan(Duration age, Instant now) {
      return Duration.between(since, now).compareTo(age) > 0;
    }
  }
}
