package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.admission.SlotDecision.Kind;
import org.cuminlatch.core.retry.AttemptId;

/**
 * Queue for the slots of one target, ordered for load that exceeds the target's capacity.
 *
 * <p>An answer loses part of its worth after the goal of its request and all of it at the deadline,
 * and routes differ in priority. A free slot is granted at once. An attempt may wait if it will
 * probably be answered by its goal behind those that go first, in the order of priority and then of
 * goal. The others are refused on arrival: while load exceeds capacity, each slot that is spent on
 * a late answer is one that an answer in time does not get.
 *
 * <p>An attempt that will probably miss its goal in any case may wait as long as no other has to,
 * as after a short burst. {@link #poll} refuses it once another has to wait.
 *
 * <p>If the target names a {@link RequestRateLimit}, a slot is granted only with a permit of it,
 * and waiting times include the wait for permits. Not thread-safe.
 */
public final class GoalQueue {

  /** Maximum number of attempts per slot that may wait although they will miss their goal. */
  private static final double MAX_LATE_PER_SLOT = 0.5;

  /**
   * Share of the time between goal and deadline within which an attempt must be answered to wait
   * past its goal.
   */
  private static final double LATE_WAIT_SHARE = 0.4;

  /** Service time that is assumed before any request of any route has been answered. */
  private static final double INITIAL_SERVICE_TIME_NANOS = 100e6;

  /** Maximum queue length per slot, regardless of the estimated waiting times. */
  private static final int MAX_QUEUED_PER_SLOT = 6;

  /** Mean deviations of the service time that an attempt must have to spare to count as safe. */
  private static final double SAFE_DEVIATIONS = 2;

  private static final double OVERALL_MEAN_SMOOTHING = 0.05;

  private final int slots;
  private final RequestRateLimit rateLimit;
  private double overallMeanNanos = INITIAL_SERVICE_TIME_NANOS;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final HeldSlots heldSlots = new HeldSlots();
  private final List<GoalRequest> queue = new ArrayList<>();

  /**
   * Creates an empty queue.
   *
   * @param slots number of requests that the target executes concurrently; at least 1
   * @param rateLimit rate at which the target accepts requests
   */
  public GoalQueue(int slots, RequestRateLimit rateLimit) {
    check(slots >= 1, "slots", "must be at least 1");
    this.slots = slots;
    this.rateLimit = notNull(rateLimit, "rateLimit");
  }

  /**
   * Requests a slot.
   *
   * @param request the attempt
   * @param now current time
   * @return the decision: admitted, queued or the reason for the refusal; {@link #poll} decides on
   *     a queued attempt later
   */
  public Kind offer(GoalRequest request, Instant now) {
    notNull(request, "request");
    if (!now.isBefore(request.deadline())) {
      return Kind.DEADLINE;
    }
    if (queue.isEmpty() && tryTakeSlot(now)) {
      hold(request, now);
      return Kind.ADMITTED;
    }
    if (queue.size() >= MAX_QUEUED_PER_SLOT * slots) {
      return Kind.QUEUE_FULL;
    }
    double wait = waitNanos(request, now);
    if (!canAnswerBy(request.deadline(), request, wait, now)) {
      return Kind.DEADLINE;
    }
    if (!likelyMeetsGoal(request, wait, now) && !mayWaitThoughLate(request, wait, now)) {
      return Kind.QUEUE_FULL;
    }
    queue.add(request);
    return Kind.QUEUED;
  }

  /** Returns whether a slot is free and the target accepts a request now; takes a permit if so. */
  private boolean tryTakeSlot(Instant now) {
    return heldSlots.count() < concurrency(now) && rateLimit.tryAcquire(now);
  }

  private boolean canAnswerBy(Instant time, GoalRequest request, double waitNanos, Instant now) {
    double needed = waitNanos + expectedNanos(request.route());
    return Duration.between(now, time).toNanos() >= needed;
  }

  /** Returns whether an attempt is answered by its goal even if it takes longer than the mean. */
  private boolean likelyMeetsGoal(GoalRequest request, double waitNanos, Instant now) {
    double needed = waitNanos + safeNanos(request.route());
    return Duration.between(now, request.goal()).toNanos() >= needed;
  }

  /** Returns whether an attempt that will miss its goal in any case may wait for load to drop. */
  private boolean mayWaitThoughLate(GoalRequest request, double waitNanos, Instant now) {
    return missesGoal(request, now)
        && queue.size() < maxLate()
        && queue.stream().allMatch(waiting -> missesGoal(waiting, now))
        && canAnswerBy(lateAnswerLimit(request), request, waitNanos, now);
  }

  private int maxLate() {
    return (int) Math.max(1, slots * MAX_LATE_PER_SLOT);
  }

  private static Instant lateAnswerLimit(GoalRequest request) {
    Duration lateInterval = Duration.between(request.goal(), request.deadline());
    return lateInterval.isNegative()
        ? request.deadline()
        : request.goal().plusNanos((long) (lateInterval.toNanos() * LATE_WAIT_SHARE));
  }

  private boolean missesGoal(GoalRequest request, Instant now) {
    return !likelyMeetsGoal(request, 0, now);
  }

  /**
   * Grants free slots to waiting attempts and refuses those that can't be answered in time.
   *
   * @param now current time
   * @return decisions on waiting attempts; attempts that go on waiting are not included
   */
  public List<SlotDecision> poll(Instant now) {
    List<SlotDecision> decisions = new ArrayList<>();
    if (queue.isEmpty()) {
      return decisions;
    }
    queue.sort(
        Comparator.comparing((GoalRequest request) -> missesGoal(request, now))
            .thenComparing(GoalRequest::priority)
            .thenComparing(GoalRequest::goal));
    refuseExpired(now, decisions);
    while (!queue.isEmpty() && tryTakeSlot(now)) {
      GoalRequest next = queue.remove(0);
      hold(next, now);
      decisions.add(new SlotDecision(next.attempt(), Kind.ADMITTED));
    }
    refuseTooLate(now, decisions);
    return decisions;
  }

  private void refuseExpired(Instant now, List<SlotDecision> decisions) {
    queue.removeIf(
        request -> {
          boolean expired = !now.isBefore(request.deadline());
          if (expired) {
            decisions.add(new SlotDecision(request.attempt(), Kind.DEADLINE));
          }
          return expired;
        });
  }

  /** Refuses late attempts if others wait, and those that can't be answered in time. */
  private void refuseTooLate(Instant now, List<SlotDecision> decisions) {
    double aheadNanos = meanHeldNanos();
    List<GoalRequest> remaining = new ArrayList<>();
    boolean othersWait = false;
    for (GoalRequest request : queue) {
      double wait =
          Math.max(aheadNanos / concurrency(now), permitWaitNanos(remaining.size() + 1, now));
      boolean late = missesGoal(request, now);
      boolean mayWait = !late || (!othersWait && remaining.size() < maxLate());
      if (mayWait && canAnswerBy(lateAnswerLimit(request), request, wait, now)) {
        remaining.add(request);
        aheadNanos += expectedNanos(request.route());
        othersWait |= !late;
      } else {
        decisions.add(new SlotDecision(request.attempt(), Kind.DEADLINE));
      }
    }
    if (remaining.size() < queue.size()) {
      queue.clear();
      queue.addAll(remaining);
    }
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
    if (end == SlotEnd.ANSWERED) {
      slot.ifPresent(this::recordServiceTime);
    }
    return slot.map(HeldSlots.Released::heldFor);
  }

  private void recordServiceTime(HeldSlots.Released slot) {
    serviceTimes.observe(slot.route(), slot.heldFor());
    overallMeanNanos += OVERALL_MEAN_SMOOTHING * (slot.heldFor().toNanos() - overallMeanNanos);
  }

  /**
   * Removes a waiting attempt from the queue.
   *
   * @param attempt the attempt
   * @return true if the attempt was waiting; it will then not be run
   */
  public boolean withdraw(AttemptId attempt) {
    return queue.removeIf(waiting -> waiting.attempt().equals(attempt));
  }

  /**
   * Refuses all waiting attempts.
   *
   * @return one decision for each attempt that was waiting
   */
  public List<SlotDecision> drain() {
    List<SlotDecision> decisions =
        queue.stream().map(request -> new SlotDecision(request.attempt(), Kind.DRAINING)).toList();
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
   * Returns how many requests the target may execute concurrently, which is less than its slots
   * while a rate limit is in effect.
   *
   * @param now current time
   * @return the number of slots that are in use on average at the permitted rate (Little's law),
   *     rounded up
   */
  public int effectiveSlots(Instant now) {
    double used = rateLimit.permittedPerSecond(now) * overallMeanNanos / 1e9;
    return (int) Math.max(1, Math.min(concurrency(now), Math.ceil(used)));
  }

  /**
   * Returns when the next waiting attempt may be granted a slot that is already free.
   *
   * @param now current time
   * @return time until the next permit; empty if none waits or all slots are held
   */
  public Optional<Duration> timeUntilPermitted(Instant now) {
    return queue.isEmpty() || heldSlots.count() >= concurrency(now)
        ? Optional.empty()
        : Optional.of(rateLimit.timeUntilPermitted(1, now));
  }

  /**
   * Returns how long an attempt of the lowest priority that arrives now would wait for a slot.
   *
   * @param now current time
   * @return the estimated time; zero while a slot is free and a request is permitted
   */
  public Duration expectedWait(Instant now) {
    double permitWait = permitWaitNanos(queue.size() + 1, now);
    if (queue.isEmpty() && heldSlots.count() < concurrency(now)) {
      return Duration.ofNanos((long) permitWait);
    }
    double aheadNanos = meanHeldNanos();
    for (GoalRequest waiting : queue) {
      aheadNanos += expectedNanos(waiting.route());
    }
    return Duration.ofNanos((long) Math.max(aheadNanos / concurrency(now), permitWait));
  }

  private int concurrency(Instant now) {
    return rateLimit.maxConcurrent(slots, now);
  }

  private void hold(GoalRequest request, Instant now) {
    heldSlots.hold(request.attempt(), request.route(), now);
  }

  /** Returns the mean service time of a route, or of all routes until its first answer. */
  private double expectedNanos(String route) {
    double routeMean = serviceTimes.meanNanos(route);
    return routeMean > 0 ? routeMean : overallMeanNanos;
  }

  /** Returns a time within which most requests of a route complete. */
  private double safeNanos(String route) {
    double mean = expectedNanos(route);
    double deviation =
        Math.max(0, serviceTimes.upperBoundNanos(route) - serviceTimes.meanNanos(route));
    return mean + SAFE_DEVIATIONS * deviation;
  }

  private double waitNanos(GoalRequest request, Instant now) {
    double aheadNanos = meanHeldNanos();
    int ahead = 0;
    for (GoalRequest waiting : queue) {
      if (waiting.priority() <= request.priority() && !missesGoal(waiting, now)) {
        aheadNanos += expectedNanos(waiting.route());
        ahead++;
      }
    }
    return Math.max(aheadNanos / concurrency(now), permitWaitNanos(ahead + 1, now));
  }

  private double permitWaitNanos(int requests, Instant now) {
    return rateLimit.timeUntilPermitted(requests, now).toNanos();
  }

  /**
   * Returns the mean service time of the running requests. Each slot becomes free once in that
   * time.
   */
  private double meanHeldNanos() {
    return heldSlots.count() == 0 ? 0 : heldSlots.sum(this::expectedNanos) / heldSlots.count();
  }
}
