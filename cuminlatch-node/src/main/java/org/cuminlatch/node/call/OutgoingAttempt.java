package org.cuminlatch.node.call;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.retry.AttemptId;

/** An attempt at the entry node, which sends it to the target's node. */
final class OutgoingAttempt {

  private final AttemptId id;
  private final Member target;
  private final Instant startedAt;
  private final BlockingQueue<AttemptEvent> events = new LinkedBlockingQueue<>();
  private volatile PeerConnection connection;

  OutgoingAttempt(AttemptId id, Member target, Instant startedAt) {
    this.id = id;
    this.target = target;
    this.startedAt = startedAt;
  }

  AttemptId id() {
    return id;
  }

  Member target() {
    return target;
  }

  Duration age(Instant now) {
    return Duration.between(startedAt, now);
  }

  PeerConnection connection() {
    return connection;
  }

  void setConnection(PeerConnection newConnection) {
    connection = newConnection;
  }

  void addEvent(AttemptEvent event) {
    events.add(event);
  }

  /** Waits for the next event; empty if there is none within the timeout. */
  Optional<AttemptEvent> nextEvent(Duration timeout) throws InterruptedException {
    long timeoutNanos = Math.max(0, timeout.toNanos());
    return Optional.ofNullable(events.poll(timeoutNanos, TimeUnit.NANOSECONDS));
  }
}
