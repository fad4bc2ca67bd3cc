package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.cuminlatch.core.admission.SlotDecision.Kind;
import org.cuminlatch.core.retry.AttemptId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A goal queue")
class GoalQueueTests {

  private static final Duration SERVICE_TIME = Duration.ofMillis(100);

  private Instant now = Instant.EPOCH;
  private long nextId;

  private GoalRequest request(int priority, Duration goal, Duration deadline) {
    return new GoalRequest(
        new AttemptId(0, nextId++),
        "route-" + priority,
        priority,
        now.plus(goal),
        now.plus(deadline));
  }

  private GoalRequest request(int priority) {
    return request(priority, Duration.ofMillis(400), Duration.ofMillis(1000));
  }

  private GoalRequest request(int priority, RequestOrigin origin) {
    GoalRequest request = request(priority);
    return new GoalRequest(
        request.attempt(), request.route(), priority, request.goal(), request.deadline(), origin);
  }

  /** Returns the limit of a target that has answered without naming one. */
  private RequestRateLimit unlimited() {
    RequestRateLimit limit = new RequestRateLimit();
    limit.onAnswer(OptionalDouble.empty(), now, now);
    return limit;
  }

  private GoalQueue queueWithKnownServiceTimes(int slots) {
    GoalQueue queue = new GoalQueue(slots, unlimited());
    for (int priority = 0; priority < 3; priority++) {
      for (int i = 0; i < 20; i++) {
        GoalRequest sample = request(priority, SERVICE_TIME, Duration.ofSeconds(9));
        queue.offer(sample, now);
        now = now.plus(SERVICE_TIME);
        queue.release(sample.attempt(), SlotEnd.ANSWERED, now);
      }
    }
    return queue;
  }

  @Nested
  class WhenSlotIsFree {

    @Test
    void admitsAttemptThatWillMissItsDeadline() {
      GoalQueue queue = queueWithKnownServiceTimes(1);

      GoalRequest late = request(1, Duration.ofMillis(10), Duration.ofMillis(50));

      assertThat(queue.offer(late, now), is(Kind.ADMITTED));
    }

    @Test
    void refusesAttemptWhoseDeadlineHasPassed() {
      GoalQueue queue = queueWithKnownServiceTimes(1);

      assertThat(queue.offer(request(1, Duration.ZERO, Duration.ZERO), now), is(Kind.DEADLINE));
    }
  }

  @Nested
  class BeforeFirstAnswer {

    @Test
    void boundsQueueByInitialServiceTime() {
      GoalQueue queue = new GoalQueue(6, unlimited());
      int queued = 0;
      for (int i = 0; i < 200; i++) {
        queued += queue.offer(request(1), now) == Kind.QUEUED ? 1 : 0;
      }

      assertThat(queued, lessThan(6 * 5));
    }
  }

  @Nested
  class WhenAllSlotsAreHeld {

    @Test
    void grantsNextSlotToHigherPriority() {
      GoalQueue queue = queueWithKnownServiceTimes(1);
      GoalRequest running = request(1);
      queue.offer(running, now);
      GoalRequest lower = request(2);
      GoalRequest higher = request(0);
      queue.offer(lower, now);
      queue.offer(higher, now);

      queue.release(running.attempt(), SlotEnd.ANSWERED, now);

      assertThat(queue.poll(now), contains(new SlotDecision(higher.attempt(), Kind.ADMITTED)));
    }

    @Test
    void grantsNextSlotToAttemptThatCanMeetItsGoal() {
      GoalQueue queue = queueWithKnownServiceTimes(1);
      GoalRequest running = request(1);
      queue.offer(running, now);
      GoalRequest late = request(0, Duration.ofMillis(50), Duration.ofMillis(900));
      GoalRequest inTime = request(2);
      queue.offer(late, now);
      queue.offer(inTime, now);

      queue.release(running.attempt(), SlotEnd.ANSWERED, now);

      assertThat(queue.poll(now), contains(new SlotDecision(inTime.attempt(), Kind.ADMITTED)));
    }

    /** Without the answer to such a call, the work on the request that made it is lost. */
    @Test
    void grantsNextSlotToCallOfRunningRequest() {
      GoalQueue queue = queueWithKnownServiceTimes(1);
      GoalRequest running = request(1);
      queue.offer(running, now);
      GoalRequest client = request(0);
      GoalRequest nested = request(2, new RequestOrigin(true, "", 0));
      queue.offer(client, now);
      queue.offer(nested, now);

      queue.release(running.attempt(), SlotEnd.ANSWERED, now);

      assertThat(queue.poll(now), contains(new SlotDecision(nested.attempt(), Kind.ADMITTED)));
    }

    @Test
    void letsCallOfRunningRequestWaitPastItsGoal() {
      GoalQueue queue = queueWithKnownServiceTimes(1);
      queue.offer(request(1), now);
      queue.offer(request(0), now);
      GoalRequest nested =
          new GoalRequest(
              new AttemptId(0, nextId++),
              "route-1",
              1,
              now,
              now.plusMillis(300),
              new RequestOrigin(true, "", 0));

      assertThat(queue.offer(nested, now), is(Kind.QUEUED));
    }

    @Test
    void letsFullQueueTakeAttemptThatGoesFirstInsteadOfLast() {
      GoalQueue queue = queueWithKnownServiceTimes(1);
      queue.offer(request(1), now);
      GoalRequest last = null;
      for (int i = 0; i < 6; i++) {
        last = request(2, Duration.ofSeconds(2), Duration.ofSeconds(4));
        assertThat(queue.offer(last, now), is(Kind.QUEUED));
        now = now.plusMillis(1);
      }
      assertThat(
          queue.offer(request(2, Duration.ofSeconds(2), Duration.ofSeconds(4)), now),
          is(Kind.QUEUE_FULL));

      assertThat(queue.offer(request(0), now), is(Kind.QUEUED));

      assertThat(queue.poll(now), contains(new SlotDecision(last.attempt(), Kind.QUEUE_FULL)));
    }

    @Test
    void grantsNextSlotToAccountThatIsNotOverItsShare() {
      GoalQueue queue = queueWithKnownServiceTimes(1);
      for (int i = 0; i < 20; i++) {
        GoalRequest request = request(1, new RequestOrigin(false, i < 18 ? "large" : "small", 1));
        queue.offer(request, now);
        now = now.plus(SERVICE_TIME);
        queue.release(request.attempt(), SlotEnd.ANSWERED, now);
      }
      GoalRequest running = request(1);
      queue.offer(running, now);
      GoalRequest large = request(1, new RequestOrigin(false, "large", 1));
      GoalRequest small = request(1, new RequestOrigin(false, "small", 1));
      queue.offer(large, now);
      queue.offer(small, now);

      queue.release(running.attempt(), SlotEnd.ANSWERED, now);

      assertThat(queue.poll(now), contains(new SlotDecision(small.attempt(), Kind.ADMITTED)));
    }

    @Test
    void refusesOnArrivalWhenDeadlineCannotBeMet() {
      GoalQueue queue = queueWithKnownServiceTimes(1);
      queue.offer(request(1), now);

      GoalRequest tooLate = request(1, Duration.ofMillis(100), Duration.ofMillis(150));

      assertThat(queue.offer(tooLate, now), is(Kind.DEADLINE));
    }

    @Test
    void refusesOnArrivalWhenAttemptsAheadMakeItMissItsGoal() {
      GoalQueue queue = queueWithKnownServiceTimes(1);
      queue.offer(request(1), now);
      Kind last = Kind.QUEUED;
      for (int i = 0; i < 6; i++) {
        last = queue.offer(request(1), now);
      }

      assertThat(last, is(Kind.QUEUE_FULL));
    }

    @Test
    void refusesWaitingAttemptThatHigherPrioritiesMakeTooLate() {
      GoalQueue queue = queueWithKnownServiceTimes(1);
      queue.offer(request(1), now);
      GoalRequest low = request(2, Duration.ofMillis(250), Duration.ofMillis(300));
      assertThat(queue.offer(low, now), is(Kind.QUEUED));
      queue.offer(request(0), now);
      queue.offer(request(0), now);

      assertThat(queue.poll(now), contains(new SlotDecision(low.attempt(), Kind.DEADLINE)));
    }

    @Test
    void removesWithdrawnAttempt() {
      GoalQueue queue = queueWithKnownServiceTimes(1);
      queue.offer(request(1), now);
      GoalRequest waiting = request(1);
      queue.offer(waiting, now);

      assertThat(queue.withdraw(waiting.attempt()), is(true));
      assertThat(queue.queued(), is(0));
    }

    @Test
    void refusesWaitingAttemptsWhenDrained() {
      GoalQueue queue = queueWithKnownServiceTimes(1);
      queue.offer(request(1), now);
      GoalRequest waiting = request(1);
      queue.offer(waiting, now);

      assertThat(queue.drain(), contains(new SlotDecision(waiting.attempt(), Kind.DRAINING)));
    }
  }

  @Nested
  class WhenRequestsNeedUnequalWork {

    private final GoalQueue queue = new GoalQueue(1, unlimited());

    private GoalRequest request(String route, int priority, long goalMillis) {
      return new GoalRequest(
          new AttemptId(0, nextId++),
          route,
          priority,
          now.plusMillis(goalMillis),
          now.plusMillis(goalMillis + 500));
    }

    @BeforeEach
    void learnServiceTimes() {
      for (int i = 0; i < 40; i++) {
        for (String route : List.of("brief", "long")) {
          GoalRequest sample = request(route, 1, 5000);
          queue.offer(sample, now);
          now = now.plusMillis(route.equals("brief") ? 50 : 300);
          queue.release(sample.attempt(), SlotEnd.ANSWERED, now);
        }
      }
      queue.offer(request("brief", 1, 1000), now);
    }

    /** Guards against one long request that makes short ones miss their goals. */
    @Test
    void refusesLongOneInPlaceOfShortOneThatWouldMissItsGoal() {
      GoalRequest waiting = request("long", 1, 600);
      assertThat(queue.offer(waiting, now), is(Kind.QUEUED));
      GoalRequest brief = request("brief", 1, 200);
      assertThat(queue.offer(brief, now), is(Kind.QUEUED));

      assertThat(queue.hasDisplaced(), is(true));
      assertThat(queue.poll(now), contains(new SlotDecision(waiting.attempt(), Kind.QUEUE_FULL)));
      assertThat(queue.queued(), is(1));
    }

    /** Guards against urgent requests that lose their place to cheap ones. */
    @Test
    void keepsLongOneOfHigherPriority() {
      assertThat(queue.offer(request("long", 0, 600), now), is(Kind.QUEUED));

      assertThat(queue.offer(request("brief", 1, 200), now), is(Kind.QUEUE_FULL));
      assertThat(queue.hasDisplaced(), is(false));
    }

    /** Guards against a refusal that helps nobody. */
    @Test
    void keepsLongOneIfTheShortOneWouldMissItsGoalAllTheSame() {
      assertThat(queue.offer(request("long", 1, 600), now), is(Kind.QUEUED));

      assertThat(queue.offer(request("brief", 1, 60), now), is(Kind.QUEUE_FULL));
      assertThat(queue.hasDisplaced(), is(false));
    }

    /** Guards against an answer to an attempt whose caller has left. */
    @Test
    void withdrawsDisplacedOne() {
      GoalRequest waiting = request("long", 1, 600);
      queue.offer(waiting, now);
      queue.offer(request("brief", 1, 200), now);

      assertThat(queue.withdraw(waiting.attempt()), is(true));
      assertThat(queue.hasDisplaced(), is(false));
    }
  }

  @Nested
  class WhenTargetNamesRateLimit {

    private static final double PER_SECOND = 10;

    private final RequestRateLimit limit = unlimited();
    private final GoalQueue queue = new GoalQueue(6, limit);

    @BeforeEach
    void nameLimit() {
      queue.offer(request(1), now);
      limit.onAnswer(OptionalDouble.of(PER_SECOND), now, now);
    }

    @Test
    void letsAttemptWaitForPermitThoughSlotIsFree() {
      GoalRequest waiting = request(1);

      assertThat(queue.offer(waiting, now), is(Kind.QUEUED));
      assertThat(queue.poll(now), is(List.of()));
      assertThat(queue.timeUntilPermitted(now), is(Optional.of(Duration.ofMillis(100))));

      now = now.plusMillis(100);

      assertThat(queue.poll(now), contains(new SlotDecision(waiting.attempt(), Kind.ADMITTED)));
    }

    @Test
    void grantsNextPermitToHigherPriority() {
      GoalRequest lower = request(2);
      GoalRequest higher = request(0);
      queue.offer(lower, now);
      queue.offer(higher, now);

      now = now.plusMillis(100);

      assertThat(queue.poll(now), contains(new SlotDecision(higher.attempt(), Kind.ADMITTED)));
    }

    @Test
    void refusesAttemptOnArrivalIfPermitComesTooLate() {
      for (int i = 0; i < 3; i++) {
        assertThat(queue.offer(request(1), now), is(Kind.QUEUED));
      }

      assertThat(queue.offer(request(1), now), is(Kind.QUEUE_FULL));
      assertThat(queue.expectedWait(now), is(Duration.ofMillis(400)));
    }

    @Test
    void reportsTheSlotsThatThePermittedRateUses() {
      assertThat(queue.effectiveSlots(now), is(1));

      limit.onAnswer(OptionalDouble.of(35), now, now);

      assertThat(queue.effectiveSlots(now), is(4));
    }
  }

  /** Simulates a load of 1.5 times the capacity of the slots and sums the value of the answers. */
  @Nested
  class WhenOverloaded {

    private static final int SLOTS = 6;
    private static final int CALLS = 6000;
    private static final Duration GOAL = Duration.ofMillis(250);
    private static final Duration DEADLINE = Duration.ofMillis(1000);

    /** Offers 1.5 times the capacity of 6 slots with a mean service time of 80 ms. */
    private static final long MEAN_ARRIVAL_INTERVAL_NANOS = 80_000_000L / SLOTS * 2 / 3;

    @Test
    void achievesMoreValueThanFirstComeFirstServed() {
      double goalQueue = simulateGoalQueue()[0];
      double firstComeFirstServed = simulateFirstComeFirstServed();

      assertThat(goalQueue, greaterThan(firstComeFirstServed * 1.3));
    }

    @Test
    void servesHigherPriorityMoreOften() {
      double[] result = simulateGoalQueue();

      assertThat(result[2], lessThan(result[1]));
    }

    /** Returns the total value and the served shares of the higher and the lower priority. */
    private double[] simulateGoalQueue() {
      SplittableRandom random = new SplittableRandom(7);
      GoalQueue queue = new GoalQueue(SLOTS, unlimited());
      Map<AttemptId, GoalRequest> pending = new HashMap<>();
      PriorityQueue<Completion> completions =
          new PriorityQueue<>((one, other) -> one.at().compareTo(other.at()));
      double value = 0;
      int[] served = new int[2];
      int[] offered = new int[2];
      for (int i = 0; i < CALLS; i++) {
        now = now.plusNanos((long) (MEAN_ARRIVAL_INTERVAL_NANOS * 2 * random.nextDouble()));
        while (!completions.isEmpty() && !completions.peek().at().isAfter(now)) {
          Completion completion = completions.poll();
          GoalRequest completed = pending.remove(completion.attempt());
          queue.release(completion.attempt(), SlotEnd.ANSWERED, completion.at());
          value += value(completed, completion.at());
          served[completed.priority()]++;
          startAdmitted(queue, completion.at(), completions, random);
        }
        GoalRequest arriving = request(random.nextInt(4) == 0 ? 0 : 1, GOAL, DEADLINE);
        offered[arriving.priority()]++;
        pending.put(arriving.attempt(), arriving);
        if (queue.offer(arriving, now) == Kind.ADMITTED) {
          completions.add(new Completion(arriving.attempt(), now.plus(randomServiceTime(random))));
        }
      }
      return new double[] {value, (double) served[0] / offered[0], (double) served[1] / offered[1]};
    }

    private void startAdmitted(
        GoalQueue queue,
        Instant at,
        PriorityQueue<Completion> completions,
        SplittableRandom random) {
      for (SlotDecision decision : queue.poll(at)) {
        if (decision.kind() == Kind.ADMITTED) {
          completions.add(new Completion(decision.attempt(), at.plus(randomServiceTime(random))));
        }
      }
    }

    private double simulateFirstComeFirstServed() {
      SplittableRandom random = new SplittableRandom(7);
      Deque<GoalRequest> waiting = new ArrayDeque<>();
      PriorityQueue<Completion> completions =
          new PriorityQueue<>((one, other) -> one.at().compareTo(other.at()));
      Map<AttemptId, GoalRequest> pending = new HashMap<>();
      double value = 0;
      for (int i = 0; i < CALLS; i++) {
        now = now.plusNanos((long) (MEAN_ARRIVAL_INTERVAL_NANOS * 2 * random.nextDouble()));
        while (!completions.isEmpty() && !completions.peek().at().isAfter(now)) {
          Completion completion = completions.poll();
          value += value(pending.remove(completion.attempt()), completion.at());
          GoalRequest next = waiting.poll();
          while (next != null && !completion.at().isBefore(next.deadline())) {
            next = waiting.poll();
          }
          if (next != null) {
            pending.put(next.attempt(), next);
            completions.add(
                new Completion(next.attempt(), completion.at().plus(randomServiceTime(random))));
          }
        }
        GoalRequest arriving = request(random.nextInt(4) == 0 ? 0 : 1, GOAL, DEADLINE);
        if (completions.size() < SLOTS) {
          pending.put(arriving.attempt(), arriving);
          completions.add(new Completion(arriving.attempt(), now.plus(randomServiceTime(random))));
        } else {
          waiting.add(arriving);
        }
      }
      return value;
    }

    private double value(GoalRequest request, Instant at) {
      if (!at.isAfter(request.goal())) {
        return 1;
      }
      return at.isAfter(request.deadline()) ? 0 : 0.5;
    }

    private Duration randomServiceTime(SplittableRandom random) {
      return Duration.ofNanos((long) (160_000_000L * random.nextDouble()));
    }

    private record Completion(AttemptId attempt, Instant at) {}
  }
}
