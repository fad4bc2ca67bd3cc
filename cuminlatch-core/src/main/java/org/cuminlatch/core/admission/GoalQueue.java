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
 * The slots of one target under more load than it can serve.
 *
 * <p>The load that it answers: callers whose answers lose worth after a goal and all of it at a
 * deadline, of routes that differ in rank. A free slot is given at once. Among those that wait, the
 * ones that can still make their goal go first, by rank and then by goal. An attempt that would
 * miss its goal behind what waits ahead of it is refused on arrival, but for a few that wait for a
 * lull; one that is pushed back beyond its hope is refused as soon as that is seen. Not safe for
 * use by many threads.
 */
public final class GoalQueue {

  /** Attempts that will miss their goal and may wait all the same, per slot. */
  private static final double LATE_PER_SLOT = 0.5;

  /** Part of the time between goal and deadline that may be spent waiting for a lull. */
  private static final double LATE_PART = 0.4;

  /** Time of a route of which nothing is known, while nothing is known of any other. */
  private static final double FIRST_GUESS_NANOS = 100e6;

  /** Attempts that may wait per slot, whatever the estimates say. */
  private static final int MOST_QUEUED_PER_SLOT = 6;

  private static final double USUAL_SMOOTHING = 0.05;

  private final int slots;
  private double usualNanos = FIRST_GUESS_NANOS;
  private final ServiceTimes times = new ServiceTimes();
  private final HeldSlots held = new HeldSlots();
  private final List<GoalRequest> queue = new ArrayList<>();

  /**
   * Creates an empty queue.
   *
   * @param slots requests that the target executes at a time
   */
  public GoalQueue(int slots) {
    check(slots >= 1, "slots", "must be at least 1");
    this.slots = slots;
  }

  /**
   * Asks for a slot.
   *
   * @param request the attempt
   * @param now present time
   * @return admitted, queued or the reason why not; a queued attempt is decided by {@link #poll}
   */
  public Kind offer(GoalRequest request, Instant now) {
    notNull(request, "request");
    if (!now.isBefore(request.deadline())) {
      return Kind.DEADLINE;
    }
    if (queue.isEmpty() && held.count() < slots) {
      hold(request, now);
      return Kind.ADMITTED;
    }
    if (queue.size() >= MOST_QUEUED_PER_SLOT * slots) {
      return Kind.QUEUE_FULL;
    }
    double wait = waitNanos(request);
    if (!meets(request.deadline(), request, wait, now)) {
      return Kind.DEADLINE;
    }
    if (!meets(request.goal(), request, wait, now) && !mayWaitLate(request, wait, now)) {
      return Kind.QUEUE_FULL;
    }
    queue.add(request);
    return Kind.QUEUED;
  }

  private boolean meets(Instant limit, GoalRequest request, double waitNanos, Instant now) {
    double needed = waitNanos + expectedNanos(request.route());
    return Duration.between(now, limit).toNanos() >= needed;
  }

  /** Returns whether an attempt that would miss its goal may wait for a lull. */
  private boolean mayWaitLate(GoalRequest request, double waitNanos, Instant now) {
    double overshoot = LATE_PER_SLOT * expectedNanos(request.route());
    boolean few =
        isLate(request, now)
            ? queue.size() < Math.max(1, slots * LATE_PER_SLOT)
            : meets(request.goal().plusNanos((long) overshoot), request, waitNanos, now);
    return few && meets(lateLimit(request), request, waitNanos, now);
  }

  private static Instant lateLimit(GoalRequest request) {
    Duration between = Duration.between(request.goal(), request.deadline());
    return between.isNegative()
        ? request.deadline()
        : request.goal().plusNanos((long) (between.toNanos() * LATE_PART));
  }

  private boolean isLate(GoalRequest request, Instant now) {
    return !meets(request.goal(), request, 0, now);
  }

  /**
   * Gives free slots to waiting attempts and refuses those without hope.
   *
   * @param now present time
   * @return decisions on attempts that waited
   */
  public List<SlotDecision> poll(Instant now) {
    List<SlotDecision> decisions = new ArrayList<>();
    if (queue.isEmpty()) {
      return decisions;
    }
    queue.sort(
        Comparator.comparing((GoalRequest request) -> isLate(request, now))
            .thenComparing(GoalRequest::priority)
            .thenComparing(GoalRequest::goal));
    while (held.count() < slots && !queue.isEmpty()) {
      GoalRequest next = queue.remove(0);
      if (now.isBefore(next.deadline())) {
        hold(next, now);
        decisions.add(new SlotDecision(next.attempt(), Kind.ADMITTED));
      } else {
        decisions.add(new SlotDecision(next.attempt(), Kind.DEADLINE));
      }
    }
    refuseHopeless(now, decisions);
    return decisions;
  }

  private void refuseHopeless(Instant now, List<SlotDecision> decisions) {
    double ahead = heldNanos();
    List<GoalRequest> kept = new ArrayList<>();
    for (GoalRequest request : queue) {
      if (meets(lateLimit(request), request, ahead / slots, now)) {
        kept.add(request);
        ahead += expectedNanos(request.route());
      } else {
        decisions.add(new SlotDecision(request.attempt(), Kind.DEADLINE));
      }
    }
    if (kept.size() < queue.size()) {
      queue.clear();
      queue.addAll(kept);
    }
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
    if (end == SlotEnd.ANSWERED) {
      slot.ifPresent(this::answered);
    }
    return slot.map(HeldSlots.Released::used);
  }

  private void answered(HeldSlots.Released slot) {
    times.observed(slot.route(), slot.used());
    usualNanos += USUAL_SMOOTHING * (slot.used().toNanos() - usualNanos);
  }

  /**
   * Takes a waiting attempt out of the queue.
   *
   * @param attempt the attempt
   * @return whether it waited; if so it will not be run
   */
  public boolean withdraw(AttemptId attempt) {
    return queue.removeIf(waiting -> waiting.attempt().equals(attempt));
  }

  /**
   * Refuses all that wait.
   *
   * @return decisions on the attempts that waited
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
   * Returns the number of slots.
   *
   * @return requests that the target executes at a time
   */
  public int slots() {
    return slots;
  }

  /**
   * Returns how long an attempt of the lowest rank that arrives now would wait for a slot.
   *
   * @return an estimate, zero while a slot is free
   */
  public Duration expectedWait() {
    if (queue.isEmpty() && held.count() < slots) {
      return Duration.ZERO;
    }
    double ahead = heldNanos();
    for (GoalRequest waiting : queue) {
      ahead += expectedNanos(waiting.route());
    }
    return Duration.ofNanos((long) (ahead / slots));
  }

  private void hold(GoalRequest request, Instant now) {
    held.hold(request.attempt(), request.route(), now);
  }

  /** Returns the usual time of a route, or that of all routes while it is not known. */
  private double expectedNanos(String route) {
    double known = times.meanNanos(route);
    return known > 0 ? known : usualNanos;
  }

  private double waitNanos(GoalRequest request) {
    double ahead = heldNanos();
    for (GoalRequest waiting : queue) {
      if (waiting.priority() <= request.priority()) {
        ahead += expectedNanos(waiting.route());
      }
    }
    return ahead / slots;
  }

  /** Returns the mean time of what runs: the slots are freed at one per that time and slot. */
  private double heldNanos() {
    return held.count() == 0 ? 0 : held.sum(this::expectedNanos) / held.count();
  }
}
