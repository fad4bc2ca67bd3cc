package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.cuminlatch.core.admission.SlotDecision.Kind;
import org.cuminlatch.core.retry.AttemptId;

/**
 * Queue for the slots of one target, ordered for load that exceeds the target's capacity.
 *
 * <p>An answer loses part of its worth after the goal of its request and all of it at the deadline,
 * and routes differ in priority. A free slot is granted at once. The order of those that wait:
 *
 * <ol>
 *   <li>calls that targets make while they run a request: without an answer, the work on that
 *       request is lost;
 *   <li>requests that can still meet their goal, in the order of priority; within a priority, those
 *       of client accounts that are over their share last ({@link AccountShares}), then by goal;
 *   <li>late requests, which miss their goal in any case, in the same order.
 * </ol>
 *
 * <p>A request that can still meet its goal may wait if it will probably do so behind those that go
 * first. If not, one of those is refused in its place if it needs much more work, as the slots then
 * answer more requests in time (the rule of J. M. Moore, An n job, one machine sequencing algorithm
 * for minimizing the number of late jobs, 1968). Otherwise the request is refused on arrival: while
 * load exceeds capacity, each slot that is spent on a late answer is one that an answer in time
 * does not get, and another target may have room. A late request may wait as long as no other has
 * to, as after a short burst. {@link #poll} refuses it once another has to wait.
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

  /**
   * Mean deviations of the service time that an attempt must have to spare to count as safe. With
   * more, requests are refused whose wait is short; with fewer, more of those that wait are late.
   * Figures: docs/design/overload.md.
   */
  static final double SAFE_DEVIATIONS = 1.25;

  /**
   * Work of a waiting request, in multiples of that of an arriving one, from which it is refused in
   * its place. Service times are means of a route, so that small differences say little.
   */
  static final double DISPLACED_WORK = 1.5;

  private static final double OVERALL_MEAN_SMOOTHING = 0.05;

  private final int slots;
  private final RequestRateLimit rateLimit;
  private final double safeDeviations;
  private final double displacedWork;
  private double overallMeanNanos = INITIAL_SERVICE_TIME_NANOS;
  private boolean answered;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final HeldSlots heldSlots = new HeldSlots();
  private final AccountShares accountShares = new AccountShares();
  private final List<Waiting> queue = new ArrayList<>();

  /** Attempts that others have taken the place of; {@link #poll} refuses them. */
  private final List<Waiting> displaced = new ArrayList<>();

  /**
   * Creates an empty queue.
   *
   * @param slots number of requests that the target executes concurrently; at least 1
   * @param rateLimit rate at which the target accepts requests
   */
  public GoalQueue(int slots, RequestRateLimit rateLimit) {
    this(slots, rateLimit, SAFE_DEVIATIONS, DISPLACED_WORK);
  }

  GoalQueue(int slots, RequestRateLimit rateLimit, double safeDeviations, double displacedWork) {
    check(slots >= 1, "slots", "must be at least 1");
    this.slots = slots;
    this.rateLimit = notNull(rateLimit, "rateLimit");
    this.safeDeviations = safeDeviations;
    this.displacedWork = displacedWork;
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
    Waiting arrived = new Waiting(request, now);
    if (queue.isEmpty() && tryTakeSlot(now)) {
      hold(arrived, now);
      return Kind.ADMITTED;
    }
    if (isFullFor(arrived)) {
      return Kind.QUEUE_FULL;
    }
    double wait = waitNanos(arrived, now);
    if (!arrived.isAnswerableBy(request.deadline(), wait, now)) {
      return Kind.DEADLINE;
    }
    if (arrived.rank == Rank.IN_TIME
            && !arrived.meetsGoalAfter(wait, now)
            && !displaceLonger(arrived, wait, now)
        || arrived.rank == Rank.LATE && !mayWaitThoughLate(arrived, wait, now)) {
      return Kind.QUEUE_FULL;
    }
    queue.add(arrived);
    return Kind.QUEUED;
  }

  /**
   * Takes the waiting request with the most work out of the queue if the new attempt then meets its
   * goal, and no request of a higher rank or with little more work has to give way.
   */
  private boolean displaceLonger(Waiting arrived, double wait, Instant now) {
    Optional<Waiting> longest =
        queue.stream()
            .filter(waiting -> waiting.isEqualInRank(arrived))
            .filter(waiting -> waiting.expectedNanos >= displacedWork * arrived.expectedNanos)
            .max(Comparator.comparingDouble(waiting -> waiting.expectedNanos));
    if (longest.isEmpty()) {
      return false;
    }
    double shorterWait = wait - longest.get().expectedNanos / concurrency(now);
    if (!arrived.meetsGoalAfter(shorterWait, now)) {
      return false;
    }
    queue.remove(longest.get());
    displaced.add(longest.get());
    return true;
  }

  /** Returns whether a slot is free and the target accepts a request now; takes a permit if so. */
  private boolean tryTakeSlot(Instant now) {
    return heldSlots.count() < concurrency(now) && rateLimit.tryAcquire(now);
  }

  /** Returns whether the queue has its maximum length and none in it goes after the new attempt. */
  private boolean isFullFor(Waiting arrived) {
    return queue.size() >= maxQueued()
        && (queue.size() >= 2 * maxQueued()
            || queue.stream().noneMatch(waiting -> Waiting.ORDER.compare(arrived, waiting) < 0));
  }

  private int maxQueued() {
    return MAX_QUEUED_PER_SLOT * slots;
  }

  /** Returns whether an attempt that will miss its goal in any case may wait for load to drop. */
  private boolean mayWaitThoughLate(Waiting arrived, double waitNanos, Instant now) {
    return queue.size() < maxLate()
        && queue.stream().allMatch(waiting -> waiting.rank == Rank.LATE)
        && arrived.isAnswerableBy(answerLimit(arrived), waitNanos, now);
  }

  private int maxLate() {
    return (int) Math.max(1, slots * MAX_LATE_PER_SLOT);
  }

  /** Returns the time by which an attempt must be answered to go on waiting. */
  private Instant answerLimit(Waiting waiting) {
    GoalRequest request = waiting.request;
    Duration lateInterval = Duration.between(request.goal(), request.deadline());
    return waiting.rank == Rank.NESTED || lateInterval.isNegative()
        ? request.deadline()
        : request.goal().plusNanos((long) (lateInterval.toNanos() * LATE_WAIT_SHARE));
  }

  /**
   * Grants free slots to waiting attempts and refuses those that can't be answered in time.
   *
   * @param now current time
   * @return decisions on waiting attempts; attempts that go on waiting are not included
   */
  public List<SlotDecision> poll(Instant now) {
    List<SlotDecision> decisions = new ArrayList<>();
    displaced.forEach(waiting -> refuse(waiting, Kind.QUEUE_FULL, decisions));
    displaced.clear();
    if (queue.isEmpty()) {
      return decisions;
    }
    queue.forEach(waiting -> waiting.update(now));
    queue.sort(Waiting.ORDER);
    refuseExpired(now, decisions);
    while (!queue.isEmpty() && tryTakeSlot(now)) {
      Waiting next = queue.remove(0);
      hold(next, now);
      decisions.add(new SlotDecision(next.request.attempt(), Kind.ADMITTED));
    }
    refuseTooLate(now, decisions);
    return decisions;
  }

  private void refuseExpired(Instant now, List<SlotDecision> decisions) {
    queue.removeIf(
        waiting -> {
          boolean expired = !now.isBefore(waiting.request.deadline());
          if (expired) {
            refuse(waiting, Kind.DEADLINE, decisions);
          }
          return expired;
        });
  }

  private void refuse(Waiting waiting, Kind reason, List<SlotDecision> decisions) {
    decisions.add(new SlotDecision(waiting.request.attempt(), reason));
  }

  /** Refuses those that can't be answered in time, and those beyond the maximum queue length. */
  private void refuseTooLate(Instant now, List<SlotDecision> decisions) {
    double aheadNanos = meanHeldNanos();
    List<Waiting> remaining = new ArrayList<>();
    boolean othersWait = false;
    for (Waiting waiting : queue) {
      boolean late = waiting.rank == Rank.LATE;
      double wait =
          Math.max(aheadNanos / concurrency(now), permitWaitNanos(remaining.size() + 1, now));
      boolean mayWait = !late || (!othersWait && remaining.size() < maxLate());
      if (remaining.size() >= maxQueued()) {
        refuse(waiting, Kind.QUEUE_FULL, decisions);
      } else if (mayWait && waiting.isAnswerableBy(answerLimit(waiting), wait, now)) {
        remaining.add(waiting);
        aheadNanos += waiting.expectedNanos;
        othersWait |= !late;
      } else {
        refuse(waiting, Kind.DEADLINE, decisions);
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
    answered = true;
  }

  /**
   * Removes a waiting attempt from the queue.
   *
   * @param attempt the attempt
   * @return true if the attempt was waiting; it will then not be run
   */
  public boolean withdraw(AttemptId attempt) {
    return queue.removeIf(waiting -> waiting.request.attempt().equals(attempt))
        || displaced.removeIf(waiting -> waiting.request.attempt().equals(attempt));
  }

  /**
   * Refuses all waiting attempts.
   *
   * @return one decision for each attempt that was waiting
   */
  public List<SlotDecision> drain() {
    List<SlotDecision> decisions =
        Stream.concat(displaced.stream(), queue.stream())
            .map(waiting -> new SlotDecision(waiting.request.attempt(), Kind.DRAINING))
            .toList();
    displaced.clear();
    queue.clear();
    return decisions;
  }

  /**
   * Returns whether a request goes after others of its priority, as its account has got more than
   * its share.
   *
   * @param request the request
   * @return true if its account is over its share
   */
  public boolean isOverShare(GoalRequest request) {
    return accountShares.isOverShare(request.origin(), expectedNanos(request.route()));
  }

  /**
   * Returns whether waiting requests have lost their place to others that need less work, so that
   * {@link #poll} will refuse them.
   *
   * @return true if there are any
   */
  public boolean hasDisplaced() {
    return !displaced.isEmpty();
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
    for (Waiting waiting : queue) {
      aheadNanos += waiting.expectedNanos;
    }
    return Duration.ofNanos((long) Math.max(aheadNanos / concurrency(now), permitWait));
  }

  /**
   * Returns the mean time for which requests hold a slot.
   *
   * @return the smoothed mean over the requests of all routes; zero before the first answer
   */
  public Duration meanServiceTime() {
    return answered ? Duration.ofNanos((long) overallMeanNanos) : Duration.ZERO;
  }

  private int concurrency(Instant now) {
    return rateLimit.maxConcurrent(slots, now);
  }

  private void hold(Waiting waiting, Instant now) {
    GoalRequest request = waiting.request;
    heldSlots.hold(request.attempt(), request.route(), now);
    accountShares.onAdmitted(request.origin(), waiting.expectedNanos, now);
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
    return mean + safeDeviations * deviation;
  }

  /** Returns how long a new attempt has to wait behind those that go before it. */
  private double waitNanos(Waiting arrived, Instant now) {
    double aheadNanos = meanHeldNanos();
    int ahead = 0;
    for (Waiting waiting : queue) {
      if (waiting.goesBefore(arrived)) {
        aheadNanos += waiting.expectedNanos;
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

  /** Rank of a waiting attempt; the first goes first. */
  private enum Rank {
    NESTED,
    IN_TIME,
    LATE
  }

  /** An attempt that waits for a slot. */
  private final class Waiting {

    static final Comparator<Waiting> ORDER =
        Comparator.<Waiting, Rank>comparing(waiting -> waiting.rank)
            .thenComparingInt(waiting -> waiting.request.priority())
            .thenComparing(waiting -> waiting.overShare)
            .thenComparing(waiting -> waiting.request.goal());

    private final GoalRequest request;
    private final double expectedNanos;
    private double safeNanos;
    private Rank rank;
    private boolean overShare;

    Waiting(GoalRequest request, Instant now) {
      this.request = request;
      this.expectedNanos = GoalQueue.this.expectedNanos(request.route());
      update(now);
    }

    /** Updates the rank and the time that the attempt needs. */
    void update(Instant now) {
      overShare = accountShares.isOverShare(request.origin(), expectedNanos);
      safeNanos = GoalQueue.this.safeNanos(request.route());
      if (request.origin().nested()) {
        rank = Rank.NESTED;
      } else {
        rank = meetsGoalAfter(0, now) ? Rank.IN_TIME : Rank.LATE;
      }
    }

    /**
     * Returns whether the attempt is answered by its goal even if it takes longer than the mean.
     */
    boolean meetsGoalAfter(double waitNanos, Instant now) {
      return Duration.between(now, request.goal()).toNanos() >= waitNanos + safeNanos;
    }

    boolean isAnswerableBy(Instant time, double waitNanos, Instant now) {
      return Duration.between(now, time).toNanos() >= waitNanos + expectedNanos;
    }

    /** Returns whether the order of this attempt and a new one is that of their goals only. */
    boolean isEqualInRank(Waiting arrived) {
      return rank == arrived.rank
          && request.priority() == arrived.request.priority()
          && overShare == arrived.overShare;
    }

    /** Returns whether this attempt gets a slot before one that has arrived later. */
    boolean goesBefore(Waiting arrived) {
      int byRank = rank.compareTo(arrived.rank);
      int byPriority = Integer.compare(request.priority(), arrived.request.priority());
      return byRank != 0
          ? byRank < 0
          : byPriority != 0 ? byPriority < 0 : !overShare || arrived.overShare;
    }
  }
}
