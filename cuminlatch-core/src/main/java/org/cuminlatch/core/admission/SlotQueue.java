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
 * Bounded queue for the slots of one target, ordered by deadline.
 *
 * <p>An attempt is refused as soon as its deadline can't be met, which is estimated from the
 * smoothed service time of its route and the requests ahead of it. While several routes are active,
 * none may hold all slots, and a route that holds less than an equal share gets a free slot before
 * one that holds more. Only the attempt that holds a slot can release it. Not thread-safe.
 */
public final class SlotQueue {

  static final int MAX_QUEUED_PER_SLOT = 8;

  private static final Comparator<Waiting> BY_DEADLINE =
      Comparator.comparing((Waiting waiting) -> waiting.request().deadline())
          .thenComparingLong(Waiting::order);

  private final AdaptiveLimit limit;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final RouteShares shares = new RouteShares();
  private final HeldSlots heldSlots = new HeldSlots();
  private final TreeSet<Waiting> queue = new TreeSet<>(BY_DEADLINE);
  private long nextOrder;
  private boolean draining;

  /**
   * Creates an empty queue.
   *
   * @param slots number of requests that the target executes concurrently; at least 1
   */
  public SlotQueue(int slots) {
    check(slots >= 1, "slots", "must be at least 1");
    this.limit = new AdaptiveLimit(slots);
  }

  /**
   * Requests a slot.
   *
   * @param request the attempt
   * @param now current time
   * @return the decision; {@link #poll} decides on a queued attempt later
   */
  public Kind offer(SlotRequest request, Instant now) {
    notNull(request, "request");
    if (draining) {
      return Kind.DRAINING;
    }
    shares.onRequest(request.route(), now);
    if (!canAnswerInTime(request, now, 0)) {
      return Kind.DEADLINE;
    }
    if (queue.isEmpty() && heldSlots.count() < limit.value() && mayHoldMore(request.route(), now)) {
      hold(request, now);
      return Kind.ADMITTED;
    }
    if (queue.size() >= MAX_QUEUED_PER_SLOT * limit.value()) {
      return Kind.QUEUE_FULL;
    }
    if (!canAnswerInTime(request, now, waitNanos(request.deadline()))) {
      return Kind.DEADLINE;
    }
    queue.add(new Waiting(request, nextOrder++));
    return Kind.QUEUED;
  }

  /**
   * Grants free slots to waiting attempts and refuses those whose deadline can't be met.
   *
   * @param now current time
   * @return decisions on waiting attempts; attempts that go on waiting are not included
   */
  public List<SlotDecision> poll(Instant now) {
    List<SlotDecision> decisions = new ArrayList<>();
    refuseTooLate(now, decisions);
    while (heldSlots.count() < limit.value()) {
      Optional<Waiting> next = nextAdmissible(now);
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
   * @param end how the use of the slot ended
   * @param now current time
   * @return how long the attempt held the slot; empty if it holds none
   */
  public Optional<Duration> release(AttemptId attempt, SlotEnd end, Instant now) {
    Optional<HeldSlots.Released> slot = heldSlots.release(attempt, now);
    slot.ifPresent(released -> released(released, end, now));
    return slot.map(HeldSlots.Released::heldFor);
  }

  private void released(HeldSlots.Released slot, SlotEnd end, Instant now) {
    shares.onSlotReleased(slot.route());
    if (end == SlotEnd.ANSWERED) {
      serviceTimes.observe(slot.route(), slot.heldFor());
      limit.onSuccess();
    } else if (end == SlotEnd.OVERLOADED) {
      limit.onOverload(now);
    }
  }

  /**
   * Removes a waiting attempt from the queue.
   *
   * @param attempt the attempt
   * @return true if the attempt was waiting; it will then not be run
   */
  public boolean withdraw(AttemptId attempt) {
    return queue.removeIf(waiting -> waiting.request().attempt().equals(attempt));
  }

  /**
   * Refuses all waiting attempts and all that arrive from now on.
   *
   * @return one decision for each attempt that was waiting
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
   * @return number of attempts that hold a slot
   */
  public int busy() {
    return heldSlots.count();
  }

  /**
   * Returns the length of the queue.
   *
   * @return number of waiting attempts
   */
  public int queued() {
    return queue.size();
  }

  /**
   * Returns the current limit on the number of slots in use.
   *
   * @return a number from 1 to the number of slots of the target
   */
  public int limit() {
    return limit.value();
  }

  private void hold(SlotRequest request, Instant now) {
    heldSlots.hold(request.attempt(), request.route(), now);
    shares.onSlotHeld(request.route());
  }

  private void refuseTooLate(Instant now, List<SlotDecision> decisions) {
    Iterator<Waiting> waiting = queue.iterator();
    while (waiting.hasNext()) {
      SlotRequest request = waiting.next().request();
      if (!canAnswerInTime(request, now, 0)) {
        waiting.remove();
        decisions.add(new SlotDecision(request.attempt(), Kind.DEADLINE));
      }
    }
  }

  private Optional<Waiting> nextAdmissible(Instant now) {
    double equalShare = shares.equalShare(limit.value(), now);
    Waiting firstAllowed = null;
    for (Waiting waiting : queue) {
      String route = waiting.request().route();
      if (shares.heldBy(route) < equalShare) {
        return Optional.of(waiting);
      }
      if (firstAllowed == null && mayHoldMore(route, now)) {
        firstAllowed = waiting;
      }
    }
    return Optional.ofNullable(firstAllowed);
  }

  private boolean mayHoldMore(String route, Instant now) {
    return shares.heldBy(route) < shares.maxSlots(limit.value(), now);
  }

  private boolean canAnswerInTime(SlotRequest request, Instant now, double waitNanos) {
    double remainingNanos = Duration.between(now, request.deadline()).toNanos();
    return remainingNanos > 0
        && waitNanos + serviceTimes.upperBoundNanos(request.route()) <= remainingNanos;
  }

  private double waitNanos(Instant deadline) {
    double aheadNanos = 0;
    for (Waiting waiting : queue) {
      if (waiting.request().deadline().isAfter(deadline)) {
        break;
      }
      aheadNanos += serviceTimes.meanNanos(waiting.request().route());
    }
    aheadNanos += heldSlots.sum(serviceTimes::meanNanos) / 2;
    return aheadNanos / limit.value();
  }

  private record Waiting(SlotRequest request, long order) {}
}
