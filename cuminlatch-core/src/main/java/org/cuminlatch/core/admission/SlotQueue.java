package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.cuminlatch.core.admission.SlotDecision.Kind;
import org.cuminlatch.core.retry.AttemptId;

/**
 * The slots of one target and the attempts that wait for them.
 *
 * <p>The queue is bounded and ordered by deadline. An attempt is refused as soon as its deadline
 * can't be met, judged by the smoothed time of its route and the work ahead of it. While several
 * routes are in use none may hold all slots, and a free slot goes to a route that holds less than
 * an equal share before one that holds more. A slot is released by the attempt that holds it and by
 * no other. Not safe for use by many threads.
 */
public final class SlotQueue {

  static final int QUEUED_PER_SLOT = 8;

  private static final Comparator<Waiting> BY_DEADLINE =
      Comparator.comparing((Waiting waiting) -> waiting.request().deadline())
          .thenComparingLong(Waiting::order);

  private final AdaptiveLimit limit;
  private final ServiceTimes times = new ServiceTimes();
  private final RouteShares shares = new RouteShares();
  private final HeldSlots held = new HeldSlots();
  private final TreeSet<Waiting> queue = new TreeSet<>(BY_DEADLINE);
  private long offered;
  private boolean draining;

  /**
   * Creates an empty queue.
   *
   * @param slots requests that the target takes at a time
   */
  public SlotQueue(int slots) {
    check(slots >= 1, "slots", "must be at least 1");
    this.limit = new AdaptiveLimit(slots);
  }

  /**
   * Asks for a slot.
   *
   * @param request the attempt
   * @param now present time
   * @return the decision; a queued attempt gets a second one from {@link #poll}
   */
  public Kind offer(SlotRequest request, Instant now) {
    notNull(request, "request");
    if (draining) {
      return Kind.DRAINING;
    }
    shares.seen(request.route(), now);
    if (!canEnd(request, now, 0)) {
      return Kind.DEADLINE;
    }
    if (queue.isEmpty() && held.count() < limit.value() && mayHoldMore(request.route(), now)) {
      hold(request, now);
      return Kind.ADMITTED;
    }
    if (queue.size() >= QUEUED_PER_SLOT * limit.value()) {
      return Kind.QUEUE_FULL;
    }
    if (!canEnd(request, now, waitNanos(request.deadline()))) {
      return Kind.DEADLINE;
    }
    queue.add(new Waiting(request, offered++));
    return Kind.QUEUED;
  }

  /**
   * Gives free slots to waiting attempts and refuses those whose deadline can't be met.
   *
   * @param now present time
   * @return decisions on attempts that waited
   */
  public List<SlotDecision> poll(Instant now) {
    List<SlotDecision> decisions = new ArrayList<>();
    refuseLate(now, decisions);
    while (held.count() < limit.value()) {
      Optional<Waiting> next = next(now);
      if (next.isEmpty()) {
        break;
      }
      queue.remove(next.get());
      hold(next.get().request(), now);
      decisions.add(new SlotDecision(next.get().request().attempt(), Kind.ADMITTED));
    }
    return decisions;
  }

  /**
   * Releases the slot of an attempt.
   *
   * @param attempt the attempt
   * @param end how the use ended
   * @param now present time
   * @return how long it held the slot, empty if it holds none
   */
  public Optional<Duration> release(AttemptId attempt, SlotEnd end, Instant now) {
    Optional<HeldSlots.Released> slot = held.release(attempt, now);
    slot.ifPresent(released -> released(released, end, now));
    return slot.map(HeldSlots.Released::used);
  }

  private void released(HeldSlots.Released slot, SlotEnd end, Instant now) {
    shares.released(slot.route());
    if (end == SlotEnd.ANSWERED) {
      times.observed(slot.route(), slot.used());
      limit.succeeded();
    } else if (end == SlotEnd.OVERLOADED) {
      limit.overloaded(now);
    }
  }

  /**
   * Takes a waiting attempt out of the queue.
   *
   * @param attempt the attempt
   * @return whether it waited; if so it will not be run
   */
  public boolean withdraw(AttemptId attempt) {
    return queue.removeIf(waiting -> waiting.request().attempt().equals(attempt));
  }

  /**
   * Takes no more attempts and refuses those that wait.
   *
   * @return decisions on the attempts that waited
   */
  public List<SlotDecision> drain() {
    draining = true;
    List<SlotDecision> decisions = new ArrayList<>();
    queue.forEach(
        waiting -> decisions.add(new SlotDecision(waiting.request().attempt(), Kind.DRAINING)));
    queue.clear();
    return decisions;
  }

  /**
   * Returns the number of slots in use.
   *
   * @return attempts that hold a slot
   */
  public int busy() {
    return held.count();
  }

  /**
   * Returns the length of the queue.
   *
   * @return attempts that wait
   */
  public int queued() {
    return queue.size();
  }

  /**
   * Returns the number of slots given out at most at present.
   *
   * @return at least 1 and at most the slots of the target
   */
  public int limit() {
    return limit.value();
  }

  private void hold(SlotRequest request, Instant now) {
    held.hold(request.attempt(), request.route(), now);
    shares.held(request.route());
  }

  private void refuseLate(Instant now, List<SlotDecision> decisions) {
    Iterator<Waiting> waiting = queue.iterator();
    while (waiting.hasNext()) {
      SlotRequest request = waiting.next().request();
      if (!canEnd(request, now, 0)) {
        waiting.remove();
        decisions.add(new SlotDecision(request.attempt(), Kind.DEADLINE));
      }
    }
  }

  private Optional<Waiting> next(Instant now) {
    double equalShare = shares.equalShare(limit.value(), now);
    Waiting first = null;
    for (Waiting waiting : queue) {
      String route = waiting.request().route();
      if (shares.heldBy(route) < equalShare) {
        return Optional.of(waiting);
      }
      if (first == null && mayHoldMore(route, now)) {
        first = waiting;
      }
    }
    return Optional.ofNullable(first);
  }

  private boolean mayHoldMore(String route, Instant now) {
    return shares.heldBy(route) < shares.most(limit.value(), now);
  }

  private boolean canEnd(SlotRequest request, Instant now, double waitNanos) {
    double left = Duration.between(now, request.deadline()).toNanos();
    return left > 0 && waitNanos + times.likelyNanos(request.route()) <= left;
  }

  private double waitNanos(Instant deadline) {
    double ahead = 0;
    for (Waiting waiting : queue) {
      if (waiting.request().deadline().isAfter(deadline)) {
        break;
      }
      ahead += times.meanNanos(waiting.request().route());
    }
    ahead += held.sum(times::meanNanos) / 2;
    return ahead / limit.value();
  }

  private record Waiting(SlotRequest request, long order) {}
}
