package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.time.Instant;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cuminlatch.core.admission.StartupBacklog;
import org.cuminlatch.core.admission.StartupBacklog.Arrival;
import org.cuminlatch.core.admission.StartupBacklog.Offer;
import org.cuminlatch.node.http.ServerExchange;

/**
 * Lets callers' requests wait for a part of the node's start, as {@link StartupBacklog} decides. A
 * request that waits has been sent to no target. Used on the traffic loop.
 */
final class StartupWait {

  /** Interval at which waiting requests are looked at; adds little to the time of a request. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);

  /**
   * Requests that are started at each check. All at once would keep a node on a small machine from
   * its other work, and would go to the first target that is linked.
   */
  private static final int STARTED_PER_CHECK = 4;

  private final EntryHandler entry;
  private final StartupBacklog<Waiting> backlog;
  private final Map<Object, Waiting> waitingByOwner = new IdentityHashMap<>();
  private boolean checkScheduled;
  private boolean startsWaiting;

  StartupWait(EntryHandler entry) {
    this.entry = entry;
    this.backlog = new StartupBacklog<>(entry.now());
  }

  /**
   * A waiting request.
   *
   * @param owner what is waiting: an exchange or a call
   * @param id id of the request
   * @param reason what is missing
   * @param since time at which the request arrived
   * @param ready returns whether it is no longer missing
   * @param start starts the request
   * @param refuse refuses the request
   */
  private record Waiting(
      Object owner,
      String id,
      String reason,
      Instant since,
      BooleanSupplier ready,
      Runnable start,
      Runnable refuse) {}

  /** Handles a request again once a part of the start is complete, or refuses it. */
  void handleLater(ServerExchange exchange, String id, String reason, BooleanSupplier ready) {
    Instant arrivedAt = entry.estimatedArrival(exchange);
    Optional<Instant> deadline = EntryCall.callerTimeout(entry, exchange).map(arrivedAt::plus);
    int bodyBytes = exchange.heldBodyBytes();
    Arrival arrival =
        deadline
            .map(time -> new Arrival(arrivedAt, time, bodyBytes))
            .orElseGet(() -> Arrival.withoutDeadline(arrivedAt, bodyBytes));
    Runnable refuse =
        () -> entry.refuse(exchange, id, reason, retryAfterSeconds(arrival.deadline()));
    Waiting waiting =
        new Waiting(exchange, id, reason, arrivedAt, ready, () -> entry.handle(exchange), refuse);
    if (offer(waiting, arrival)) {
      exchange.onCallerDisconnected(() -> handleCallerLeft(exchange));
    } else {
      refuse.run();
    }
  }

  /**
   * Lets a call wait for a target of its service.
   *
   * @return false if it may not wait
   */
  boolean awaitTarget(
      EntryCall call, String id, String reason, Arrival arrival, BooleanSupplier ready) {
    return offer(
        new Waiting(call, id, reason, arrival.arrivedAt(), ready, call::resume, call::expireWait),
        arrival);
  }

  private boolean offer(Waiting waiting, Arrival arrival) {
    Offer offer = backlog.offer(waiting, arrival, entry.now());
    if (offer != Offer.WAITS) {
      if (offer != Offer.STARTED) {
        count(offer.name().toLowerCase(Locale.ROOT));
      }
      return false;
    }
    waitingByOwner.put(waiting.owner(), waiting);
    scheduleCheck();
    return true;
  }

  private void scheduleCheck() {
    if (!checkScheduled && backlog.size() > 0) {
      checkScheduled = true;
      entry.loop().schedule(this::check, CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void check() {
    checkScheduled = false;
    Instant now = entry.now();
    List<Waiting> expired = backlog.expire(now);
    List<Waiting> released =
        backlog.release(waiting -> waiting.ready().getAsBoolean(), STARTED_PER_CHECK, now);
    scheduleCheck();
    for (Waiting waiting : expired) {
      forget(waiting, "expired");
      run(waiting, waiting.refuse());
    }
    for (Waiting waiting : released) {
      forget(waiting, "started");
      entry
          .log()
          .request("waited", waiting.id())
          .with("reason", waiting.reason())
          .with("tookMillis", Duration.between(waiting.since(), now).toMillis())
          .write();
      startsWaiting = true;
      run(waiting, waiting.start());
      startsWaiting = false;
    }
  }

  /** Returns whether the request that is being handled has waited. */
  boolean isStartingWaiting() {
    return startsWaiting;
  }

  /** Runs an action on a request; an error must not keep the other requests from being handled. */
  private void run(Waiting waiting, Runnable action) {
    try {
      action.run();
    } catch (RuntimeException error) {
      entry
          .log()
          .request("task-failed", waiting.id())
          .with("reason", String.valueOf(error))
          .write();
    }
  }

  private void forget(Waiting waiting, String outcome) {
    waitingByOwner.remove(waiting.owner());
    count(outcome);
  }

  private void handleCallerLeft(ServerExchange exchange) {
    drop(exchange);
    entry.onAbandoned(exchange);
  }

  /** Drops a request whose caller has left, if it waits. */
  void drop(Object owner) {
    Waiting waiting = waitingByOwner.get(owner);
    if (waiting != null && backlog.remove(waiting)) {
      forget(waiting, "left");
    }
  }

  private void count(String outcome) {
    entry.metrics().countStartup(outcome);
  }

  /** Returns whether the node is starting, so that parts of it may still be missing. */
  boolean isStarting() {
    return backlog.isOpen(entry.now());
  }

  /** Returns after which time a caller should come back whose request can't wait. */
  double retryAfterSeconds(Instant deadline) {
    Duration timeLeft = Duration.between(entry.now(), deadline);
    return StartupBacklog.retryDelay(timeLeft, entry.random().nextDouble()).toNanos() / 1e9;
  }

  int size() {
    return backlog.size();
  }
}
