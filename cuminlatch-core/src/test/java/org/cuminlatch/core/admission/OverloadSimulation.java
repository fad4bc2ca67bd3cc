package org.cuminlatch.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.cuminlatch.core.admission.SlotDecision.Kind;
import org.cuminlatch.core.retry.AttemptId;

/**
 * Plays a sustained load against the queues of several targets on virtual time.
 *
 * <p>Requests arrive at random. Each goes to the less loaded of two random targets, and is sent on
 * to others while queues refuse it. Service times are random, with a standard deviation of half the
 * mean.
 */
final class OverloadSimulation {

  static final Duration GOAL = Duration.ofMillis(300);
  static final Duration DEADLINE = Duration.ofMillis(1200);

  /** Mean service time of a request at a target of speed 1. */
  static final Duration SERVICE_TIME = Duration.ofMillis(100);

  private static final Duration WARM_UP = Duration.ofSeconds(2);
  private static final int MAX_PLACEMENTS = 4;
  private static final int ERLANG_STAGES = 4;

  private static final Duration RETURN_DELAY = Duration.ofMillis(200);

  /** What refused callers do, and how the queues count their goals then. */
  enum RefusedCallers {
    /** They give up. */
    GIVE_UP,
    /** They come back once; their goals count from the new request. */
    RETURN_AS_NEW,
    /** They come back once; their goals count from their first request. */
    RETURN
  }

  private final RefusedCallers refusedCallers;
  private final SplittableRandom random = new SplittableRandom(11);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
  private final List<Target> targets = new ArrayList<>();
  private final Map<AttemptId, Call> calls = new HashMap<>();
  private Instant now = Instant.EPOCH;
  private long nextNumber;
  private int offered;
  private int inTime;
  private int late;
  private int refused;

  OverloadSimulation(RefusedCallers refusedCallers) {
    this.refusedCallers = refusedCallers;
  }

  /**
   * Adds a target.
   *
   * @param slots number of requests that it executes concurrently
   * @param speed factor of its speed
   * @param perSecond rate limit that it names in its answers, if any
   * @param newDiscipline creates the queue for its slots
   */
  void addTarget(
      int slots,
      double speed,
      OptionalDouble perSecond,
      Function<RequestRateLimit, Discipline> newDiscipline) {
    RequestRateLimit limit = new RequestRateLimit();
    limit.onAnswer(perSecond, now, now);
    targets.add(new Target(slots, speed, limit, newDiscipline.apply(limit)));
  }

  /** Returns the number of requests per second that all targets can execute. */
  double capacityPerSecond() {
    return targets.stream().mapToDouble(Target::capacityPerSecond).sum();
  }

  /** Plays a load, given in requests per second, and returns what the callers got. */
  Result play(double perSecond, Duration length) {
    Instant end = now.plus(length);
    scheduleArrival(perSecond, end);
    while (!events.isEmpty()) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    double seconds = length.minus(WARM_UP).toNanos() / 1e9;
    return new Result(offered / seconds, inTime / seconds, late / seconds, refused / seconds);
  }

  private void scheduleArrival(double perSecond, Instant end) {
    Duration gap = Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9));
    if (now.plus(gap).isBefore(end)) {
      schedule(
          gap,
          () -> {
            place(new Call(now));
            scheduleArrival(perSecond, end);
          });
    }
  }

  private void schedule(Duration delay, Runnable action) {
    events.add(new Event(now.plus(delay), nextNumber++, action));
  }

  private void place(Call call) {
    if (call.tried.size() >= Math.min(MAX_PLACEMENTS, targets.size())) {
      call.end(Outcome.REFUSED);
      return;
    }
    Target target = leastLoadedOfTwo(call.tried);
    call.tried.add(target);
    AttemptId attempt = new AttemptId(1, nextNumber++);
    calls.put(attempt, call);
    GoalRequest request =
        new GoalRequest(
            attempt, "route", 1, call.goalCountsFrom.plus(GOAL), call.arrivedAt.plus(DEADLINE));
    target.apply(new SlotDecision(attempt, target.queue.offer(request, now)));
    target.awaitPermit();
  }

  private Target leastLoadedOfTwo(Set<Target> tried) {
    List<Target> untried = targets.stream().filter(target -> !tried.contains(target)).toList();
    Target one = untried.get(random.nextInt(untried.size()));
    Target other = untried.get(random.nextInt(untried.size()));
    return one.cost() <= other.cost() ? one : other;
  }

  /** A way to give out the slots of one target. */
  interface Discipline {

    Kind offer(GoalRequest request, Instant now);

    List<SlotDecision> poll(Instant now);

    void release(AttemptId attempt, Instant now);

    int pending();

    static Discipline of(GoalQueue queue) {
      return new Discipline() {
        @Override
        public Kind offer(GoalRequest request, Instant now) {
          return queue.offer(request, now);
        }

        @Override
        public List<SlotDecision> poll(Instant now) {
          return queue.poll(now);
        }

        @Override
        public void release(AttemptId attempt, Instant now) {
          queue.release(attempt, SlotEnd.ANSWERED, now);
        }

        @Override
        public int pending() {
          return queue.busy() + queue.queued();
        }
      };
    }

    /** Admits in the order of arrival and refuses only requests whose deadline has passed. */
    static Discipline firstComeFirstServed(int slots, RequestRateLimit limit) {
      return new Discipline() {
        private final List<GoalRequest> waiting = new ArrayList<>();
        private int busy;

        @Override
        public Kind offer(GoalRequest request, Instant now) {
          waiting.add(request);
          return waiting.size() == 1 && takesSlot(now) ? admit() : Kind.QUEUED;
        }

        private boolean takesSlot(Instant now) {
          return busy < slots && limit.tryAcquire(now);
        }

        private Kind admit() {
          waiting.remove(0);
          busy++;
          return Kind.ADMITTED;
        }

        @Override
        public List<SlotDecision> poll(Instant now) {
          List<SlotDecision> decisions = new ArrayList<>();
          while (!waiting.isEmpty()) {
            GoalRequest next = waiting.get(0);
            if (!now.isBefore(next.deadline())) {
              waiting.remove(0);
              decisions.add(new SlotDecision(next.attempt(), Kind.DEADLINE));
            } else if (takesSlot(now)) {
              decisions.add(new SlotDecision(next.attempt(), admit()));
            } else {
              break;
            }
          }
          return decisions;
        }

        @Override
        public void release(AttemptId attempt, Instant now) {
          busy--;
        }

        @Override
        public int pending() {
          return busy + waiting.size();
        }
      };
    }
  }

  /**
   * What callers got, in requests per second.
   *
   * @param offered requests that arrived
   * @param inTime answers within the goal
   * @param late answers after the goal, up to the deadline
   * @param refused refusals
   */
  record Result(double offered, double inTime, double late, double refused) {}

  private record Event(Instant at, long number, Runnable action) {}

  private enum Outcome {
    ANSWERED,
    REFUSED
  }

  private final class Call {

    private final Instant arrivedAt;
    private final Set<Target> tried = new HashSet<>();
    private Instant goalCountsFrom;
    private boolean returned;

    Call(Instant arrivedAt) {
      this.arrivedAt = arrivedAt;
      this.goalCountsFrom = arrivedAt;
    }

    private void comeBack() {
      tried.clear();
      goalCountsFrom = refusedCallers == RefusedCallers.RETURN ? arrivedAt : now;
      place(this);
    }

    void end(Outcome outcome) {
      if (outcome == Outcome.REFUSED && refusedCallers != RefusedCallers.GIVE_UP && !returned) {
        returned = true;
        schedule(RETURN_DELAY, this::comeBack);
        return;
      }
      if (arrivedAt.isBefore(Instant.EPOCH.plus(WARM_UP))) {
        return;
      }
      offered++;
      if (outcome == Outcome.REFUSED) {
        refused++;
      } else if (!now.isAfter(arrivedAt.plus(GOAL))) {
        inTime++;
      } else if (!now.isAfter(arrivedAt.plus(DEADLINE))) {
        late++;
      }
    }
  }

  private final class Target {

    private final int slots;
    private final double speed;
    private final RequestRateLimit limit;
    private final Discipline queue;
    private boolean awaitsPermit;

    Target(int slots, double speed, RequestRateLimit limit, Discipline queue) {
      this.slots = slots;
      this.speed = speed;
      this.limit = limit;
      this.queue = queue;
    }

    double capacityPerSecond() {
      double bySlots = slots * speed * 1e9 / SERVICE_TIME.toNanos();
      return Math.min(bySlots, limit.perSecond().orElse(bySlots));
    }

    /** Returns the requests at the target in relation to its capacity. */
    double cost() {
      return (queue.pending() + 1) / capacityPerSecond();
    }

    void apply(SlotDecision decision) {
      Call call = calls.get(decision.attempt());
      switch (decision.kind()) {
        case ADMITTED -> schedule(serviceTime(), () -> complete(decision.attempt()));
        case QUEUED -> {}
        default -> {
          calls.remove(decision.attempt());
          place(call);
        }
      }
    }

    private void complete(AttemptId attempt) {
      calls.remove(attempt).end(Outcome.ANSWERED);
      queue.release(attempt, now);
      poll();
    }

    private void poll() {
      queue.poll(now).forEach(this::apply);
      awaitPermit();
    }

    private void awaitPermit() {
      Duration untilPermit = limit.timeUntilPermitted(1, now);
      if (!awaitsPermit && limit.perSecond().isPresent() && queue.pending() > 0) {
        awaitsPermit = true;
        schedule(
            untilPermit.plusMillis(1),
            () -> {
              awaitsPermit = false;
              poll();
            });
      }
    }

    /** Draws a service time from an Erlang distribution. */
    private Duration serviceTime() {
      double sum = 0;
      for (int i = 0; i < ERLANG_STAGES; i++) {
        sum -= Math.log(1 - random.nextDouble());
      }
      return Duration.ofNanos((long) (SERVICE_TIME.toNanos() * sum / ERLANG_STAGES / speed));
    }
  }
}
