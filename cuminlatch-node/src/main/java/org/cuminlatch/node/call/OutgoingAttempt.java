package org.cuminlatch.node.call;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.retry.AttemptId;

/** An attempt as the node that the caller entered sees it. */
final class OutgoingAttempt {

  private final AttemptId id;
  private final Member target;
  private final Instant begunAt;
  private final BlockingQueue<AttemptEvent> events = new LinkedBlockingQueue<>();
  private volatile PeerConnection connection;

  OutgoingAttempt(AttemptId id, Member target, Instant begunAt) {
    this.id = id;
    this.target = target;
    this.begunAt = begunAt;
  }

  AttemptId id() {
    return id;
  }

  Member target() {
    return target;
  }

  Duration age(Instant now) {
    return Duration.between(begunAt, now);
  }

  PeerConnection connection() {
    return connection;
  }

  void carriedBy(PeerConnection carrier) {
    connection = carrier;
  }

  void add(AttemptEvent event) {
    events.add(event);
  }

  /** Waits for the next event; empty if none came in time. */
  Optional<AttemptEvent> next(Duration timeout) throws InterruptedException {
    long nanos = Math.max(0, timeout.toNanos());
    return Optional.ofNullable(events.poll(nanos, TimeUnit.NANOSECONDS));
  }
}
