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
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.cuminlatch.core.admission.SlotDecision.Kind;
import org.cuminlatch.core.retry.AttemptId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A goal queue")
class GoalQueueTests {

  private static final Duration SERVICE = Duration.ofMillis(100);

  private Instant now = Instant.EPOCH;
  private long ids;

  private GoalRequest request(int priority, Duration goal, Duration deadline) {
    return new GoalRequest(
        new AttemptId(0, ids++), "route-" + priority, priority, now.plus(goal), now.plus(deadline));
  }

  private GoalRequest request(int priority) {
    return request(priority, Duration.ofMillis(400), Duration.ofMillis(1000));
  }

  private GoalQueue learned(int slots) {
    GoalQueue queue = new GoalQueue(slots);
    for (int priority = 0; priority < 3; priority++) {
      for (int i = 0; i < 20; i++) {
        GoalRequest learning = request(priority, SERVICE, Duration.ofSeconds(9));
        queue.offer(learning, now);
        now = now.plus(SERVICE);
        queue.release(learning.attempt(), SlotEnd.ANSWERED, now);
      }
    }
    return queue;
  }

  @Nested
  class WithFreeSlots {

    @Test
    void admitsEvenWhatWillBeLate() {
      GoalQueue queue = learned(1);

      GoalRequest late = request(1, Duration.ofMillis(10), Duration.ofMillis(50));

      assertThat(queue.offer(late, now), is(Kind.ADMITTED));
    }

    @Test
    void refusesWhatIsPastItsDeadline() {
      GoalQueue queue = learned(1);

      assertThat(queue.offer(request(1, Duration.ZERO, Duration.ZERO), now), is(Kind.DEADLINE));
    }
  }

  @Nested
  class BeforeAnyAnswer {

    @Test
    void refusesWhatWouldWaitBeyondItsGoalByFirstGuess() {
      GoalQueue queue = new GoalQueue(6);
      int queued = 0;
      for (int i = 0; i < 200; i++) {
        queued += queue.offer(request(1), now) == Kind.QUEUED ? 1 : 0;
      }

      assertThat(queued, lessThan(6 * 5));
    }
  }

  @Nested
  class WithoutFreeSlots {

    @Test
    void givesTheNextSlotToTheHigherRank() {
      GoalQueue queue = learned(1);
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
    void givesTheNextSlotToWhatCanMakeItsGoal() {
      GoalQueue queue = learned(1);
      GoalRequest running = request(1);
      queue.offer(running, now);
      GoalRequest late = request(0, Duration.ofMillis(50), Duration.ofMillis(900));
      GoalRequest inTime = request(2);
      queue.offer(late, now);
      queue.offer(inTime, now);

      queue.release(running.attempt(), SlotEnd.ANSWERED, now);

      assertThat(queue.poll(now), contains(new SlotDecision(inTime.attempt(), Kind.ADMITTED)));
    }

    @Test
    void refusesAtOnceWhatWouldMissItsDeadline() {
      GoalQueue queue = learned(1);
      queue.offer(request(1), now);

      GoalRequest hopeless = request(1, Duration.ofMillis(100), Duration.ofMillis(150));

      assertThat(queue.offer(hopeless, now), is(Kind.DEADLINE));
    }

    @Test
    void refusesAtOnceWhatWouldMissItsGoalBehindOthers() {
      GoalQueue queue = learned(1);
      queue.offer(request(1), now);
      Kind last = Kind.QUEUED;
      for (int i = 0; i < 6; i++) {
        last = queue.offer(request(1), now);
      }

      assertThat(last, is(Kind.QUEUE_FULL));
    }

    @Test
    void refusesWhatIsPushedBackBeyondHope() {
      GoalQueue queue = learned(1);
      queue.offer(request(1), now);
      GoalRequest low = request(2, Duration.ofMillis(250), Duration.ofMillis(300));
      assertThat(queue.offer(low, now), is(Kind.QUEUED));
      queue.offer(request(0), now);
      queue.offer(request(0), now);

      assertThat(queue.poll(now), contains(new SlotDecision(low.attempt(), Kind.DEADLINE)));
    }

    @Test
    void forgetsWhatIsWithdrawn() {
      GoalQueue queue = learned(1);
      queue.offer(request(1), now);
      GoalRequest waiting = request(1);
      queue.offer(waiting, now);

      assertThat(queue.withdraw(waiting.attempt()), is(true));
      assertThat(queue.queued(), is(0));
    }

    @Test
    void refusesAllThatWaitsWhenDrained() {
      GoalQueue queue = learned(1);
      queue.offer(request(1), now);
      GoalRequest waiting = request(1);
      queue.offer(waiting, now);

      assertThat(queue.drain(), contains(new SlotDecision(waiting.attempt(), Kind.DRAINING)));
    }
  }

  /** Plays a load of half again what the slots can serve and counts what callers get. */
  @Nested
  class UnderOverload {

    private static final int SLOTS = 6;
    private static final int CALLS = 6000;
    private static final Duration GOAL = Duration.ofMillis(250);
    private static final Duration DEADLINE = Duration.ofMillis(1000);

    /** Time between arrivals at which 6 slots of 80 ms get half again what they serve. */
    private static final long GAP_NANOS = 80_000_000L / SLOTS * 2 / 3;

    @Test
    void earnsMoreThanFirstComeFirstServed() {
      double goalQueue = creditOfGoalQueue()[0];
      double firstComeFirstServed = creditOfFirstComeFirstServed();

      assertThat(goalQueue, greaterThan(firstComeFirstServed * 1.3));
    }

    @Test
    void servesTheHigherRankMoreOften() {
      double[] result = creditOfGoalQueue();

      assertThat(result[2], lessThan(result[1]));
    }

    /** Returns credit in all, and the served share of the higher and of the lower rank. */
    private double[] creditOfGoalQueue() {
      SplittableRandom random = new SplittableRandom(7);
      GoalQueue queue = new GoalQueue(SLOTS);
      Map<AttemptId, GoalRequest> known = new HashMap<>();
      PriorityQueue<End> ends = new PriorityQueue<>((one, other) -> one.at().compareTo(other.at()));
      double credit = 0;
      int[] served = new int[2];
      int[] asked = new int[2];
      for (int i = 0; i < CALLS; i++) {
        now = now.plusNanos((long) (GAP_NANOS * 2 * random.nextDouble()));
        while (!ends.isEmpty() && !ends.peek().at().isAfter(now)) {
          End end = ends.poll();
          GoalRequest done = known.remove(end.attempt());
          queue.release(end.attempt(), SlotEnd.ANSWERED, end.at());
          credit += credit(done, end.at());
          served[done.priority()]++;
          admit(queue, end.at(), ends, random);
        }
        GoalRequest arriving = request(random.nextInt(4) == 0 ? 0 : 1, GOAL, DEADLINE);
        asked[arriving.priority()]++;
        known.put(arriving.attempt(), arriving);
        if (queue.offer(arriving, now) == Kind.ADMITTED) {
          ends.add(new End(arriving.attempt(), now.plus(work(random))));
        }
      }
      return new double[] {credit, (double) served[0] / asked[0], (double) served[1] / asked[1]};
    }

    private void admit(
        GoalQueue queue, Instant at, PriorityQueue<End> ends, SplittableRandom random) {
      for (SlotDecision decision : queue.poll(at)) {
        if (decision.kind() == Kind.ADMITTED) {
          ends.add(new End(decision.attempt(), at.plus(work(random))));
        }
      }
    }

    private double creditOfFirstComeFirstServed() {
      SplittableRandom random = new SplittableRandom(7);
      Deque<GoalRequest> waiting = new ArrayDeque<>();
      PriorityQueue<End> ends = new PriorityQueue<>((one, other) -> one.at().compareTo(other.at()));
      Map<AttemptId, GoalRequest> known = new HashMap<>();
      double credit = 0;
      for (int i = 0; i < CALLS; i++) {
        now = now.plusNanos((long) (GAP_NANOS * 2 * random.nextDouble()));
        while (!ends.isEmpty() && !ends.peek().at().isAfter(now)) {
          End end = ends.poll();
          credit += credit(known.remove(end.attempt()), end.at());
          GoalRequest next = waiting.poll();
          while (next != null && !end.at().isBefore(next.deadline())) {
            next = waiting.poll();
          }
          if (next != null) {
            known.put(next.attempt(), next);
            ends.add(new End(next.attempt(), end.at().plus(work(random))));
          }
        }
        GoalRequest arriving = request(random.nextInt(4) == 0 ? 0 : 1, GOAL, DEADLINE);
        if (ends.size() < SLOTS) {
          known.put(arriving.attempt(), arriving);
          ends.add(new End(arriving.attempt(), now.plus(work(random))));
        } else {
          waiting.add(arriving);
        }
      }
      return credit;
    }

    private double credit(GoalRequest request, Instant at) {
      if (!at.isAfter(request.goal())) {
        return 1;
      }
      return at.isAfter(request.deadline()) ? 0 : 0.5;
    }

    private Duration work(SplittableRandom random) {
      return Duration.ofNanos((long) (160_000_000L * random.nextDouble()));
    }

    private record End(AttemptId attempt, Instant at) {}
  }
}
