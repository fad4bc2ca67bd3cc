package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.cuminlatch.core.admission.StartupBacklog.Arrival;
import org.cuminlatch.core.admission.StartupBacklog.Offer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The backlog of a node that starts")
class StartupBacklogTests {

  private static final Instant START = Instant.EPOCH;

  private final StartupBacklog<String> backlog = new StartupBacklog<>(START);

  private static Instant at(long millis) {
    return START.plusMillis(millis);
  }

  private Offer offer(String request, long arrivedAt, long deadline) {
    return backlog.offer(request, new Arrival(at(arrivedAt), at(deadline), 0), at(arrivedAt));
  }

  private List<String> releaseAll(long now) {
    return backlog.release(request -> true, Integer.MAX_VALUE, at(now));
  }

  @Nested
  class WhenThePartOfTheStartIsComplete {

    /** Guards against serving first those that can wait, while others run out of time. */
    @Test
    void startsRequestsInOrderOfTheirDeadlines() {
      offer("long", 0, 3000);
      offer("short", 100, 1500);
      offer("middle", 200, 2000);

      assertThat(releaseAll(500), contains("short", "middle", "long"));
      assertThat(backlog.size(), is(0));
    }

    @Test
    void startsRequestsWithTheSameDeadlineInOrderOfArrival() {
      offer("first", 0, 3000);
      offer("second", 0, 3000);

      assertThat(releaseAll(500), contains("first", "second"));
    }

    /** Guards against spending slots on requests whose answers come too late. */
    @Test
    void startsNoneThatCanNotBeServedInItsTime() {
      offer("short", 0, 700);
      offer("long", 0, 3000);

      assertThat(releaseAll(400), contains("long"));
      assertThat(backlog.expire(at(400)), contains("short"));
    }

    /** Guards against a burst at the first target that is linked. */
    @Test
    void startsNoMoreAtOnceThanAsked() {
      offer("a", 0, 3000);
      offer("b", 0, 2000);
      offer("c", 0, 2500);

      assertThat(backlog.release(request -> true, 2, at(100)), contains("b", "c"));
      assertThat(backlog.release(request -> true, 2, at(110)), contains("a"));
    }

    /** Guards against requests of a service without a target holding up those of others. */
    @Test
    void startsOnlyThoseThatWaitedForIt() {
      offer("other", 0, 1000);
      offer("mine", 0, 3000);

      assertThat(backlog.release("mine"::equals, 5, at(100)), contains("mine"));
      assertThat(releaseAll(100), contains("other"));
    }
  }

  @Nested
  class WhenRequestCanNotBeServed {

    /** Guards against a refusal at the deadline of what was known to be late on arrival. */
    @Test
    void refusesItAtOnce() {
      long margin = StartupBacklog.SERVICE_MARGIN.toMillis();

      assertThat(offer("late", 100, 100 + margin), is(Offer.LATE));
      assertThat(offer("in time", 100, 101 + margin), is(Offer.WAITS));
    }

    /** Guards against waits of callers who could still come back elsewhere. */
    @Test
    void letsNoneWaitLongerThanItsTime() {
      offer("short", 0, 1000);
      offer("long", 0, 9000);

      assertThat(backlog.expire(at(699)), empty());
      assertThat(backlog.expire(at(700)), contains("short"));
      assertThat(backlog.expire(at(1999)), empty());
      assertThat(backlog.expire(at(2000)), contains("long"));
    }

    /** Guards against a wait of 2 s for the configuration and another one for a target. */
    @Test
    void countsEarlierWaitsOfTheRequest() {
      Arrival arrival = new Arrival(at(0), at(9000), 0);

      assertThat(backlog.offer("again", arrival, at(1500)), is(Offer.WAITS));
      assertThat(backlog.expire(at(2000)), contains("again"));
      assertThat(backlog.offer("later", arrival, at(2000)), is(Offer.LATE));
    }

    @Test
    void letsRequestWithoutDeadlineWaitAsLongAsAny() {
      backlog.offer("open", Arrival.withoutDeadline(at(0), 0), at(0));

      assertThat(backlog.expire(at(1999)), empty());
      assertThat(backlog.expire(at(2000)), contains("open"));
    }

    /** Guards against callers that wait each time while the store or all targets are away. */
    @Test
    void refusesAtOnceAfterTheStart() {
      assertThat(offer("last", 9_999, 20_000), is(Offer.WAITS));
      assertThat(offer("late", 10_000, 20_000), is(Offer.STARTED));
    }
  }

  @Nested
  class WhenTooManyArrive {

    /** Guards against a backlog that the targets can't serve in its time. */
    @Test
    void isBoundedInNumber() {
      for (int i = 0; i < StartupBacklog.MAX_REQUESTS; i++) {
        assertThat(offer("r" + i, 0, 3000), is(Offer.WAITS));
      }

      assertThat(offer("one too many", 0, 3000), is(Offer.FULL));
      backlog.remove("r5");
      assertThat(offer("another", 0, 3000), is(Offer.WAITS));
    }

    /** Guards against uploads that fill the heap of a node before it can send them on. */
    @Test
    void isBoundedInBytes() {
      int half = (int) StartupBacklog.MAX_BODY_BYTES / 2;
      Arrival upload = new Arrival(at(0), at(3000), half);

      assertThat(backlog.offer("a", upload, at(0)), is(Offer.WAITS));
      assertThat(backlog.offer("b", upload, at(0)), is(Offer.WAITS));
      assertThat(backlog.offer("c", new Arrival(at(0), at(3000), 1), at(0)), is(Offer.FULL));
      assertThat(offer("without body", 0, 3000), is(Offer.WAITS));
      assertThat(backlog.release("a"::equals, 1, at(1)), contains("a"));
      assertThat(backlog.offer("c", upload, at(0)), is(Offer.WAITS));
    }
  }

  /** Guards against running requests whose callers have left. */
  @Test
  void dropsRequestsWhoseCallersLeave() {
    offer("left", 0, 3000);
    offer("stays", 0, 3000);

    assertThat(backlog.remove("left"), is(true));
    assertThat(backlog.remove("left"), is(false));
    assertThat(releaseAll(100), contains("stays"));
  }

  @Nested
  class WhenRequestIsRefused {

    /** Guards against refused callers that come back together. */
    @Test
    void spreadsTheReturnOfCallers() {
      Duration left = Duration.ofSeconds(6);

      assertThat(StartupBacklog.retryDelay(left, 0), is(Duration.ofMillis(250)));
      assertThat(StartupBacklog.retryDelay(left, 1), is(Duration.ofSeconds(1)));
    }

    /** Guards against a return after the third of the time that callers wait at most. */
    @Test
    void letsCallersComeBackWithinTheirTime() {
      Duration left = Duration.ofMillis(600);

      assertThat(StartupBacklog.retryDelay(left, 0), is(Duration.ofMillis(50)));
      assertThat(StartupBacklog.retryDelay(left, 1).toMillis(), is(greaterThanOrEqualTo(199L)));
      assertThat(StartupBacklog.retryDelay(left, 1), is(lessThanOrEqualTo(left.dividedBy(3))));
    }

    @Test
    void spreadsThoseWhoseDeadlineHasPassedOverTheWholeTime() {
      assertThat(StartupBacklog.retryDelay(Duration.ofMillis(-5), 1), is(Duration.ofSeconds(1)));
    }
  }

  /**
   * The start of one node in virtual time: requests arrive from the first moment, the configuration
   * is in force after 1.4 s, and the target runs six of them at a time, those with the least time
   * left first, as its gate orders them.
   */
  @Nested
  class WhenNodeStartsUnderLoad {

    private static final int SLOTS = 6;
    private static final long CONFIGURED_AT = 1400;
    private static final long END = 4000;
    private static final double REQUESTS_PER_SECOND = 20;
    private static final long[] WORK = {210, 276, 248, 52};
    private static final long[] DEADLINES = {3217, 3138, 4186, 695};

    private record Request(long arrivedAt, long deadline, long work) {}

    private record Served(int early, int late, int refused) {}

    private List<Request> arrivals(long seed) {
      SplittableRandom random = new SplittableRandom(seed);
      List<Request> requests = new ArrayList<>();
      double time = 0;
      while (time < END) {
        time -= Math.log(1 - random.nextDouble()) * 1000 / REQUESTS_PER_SECOND;
        int kind = random.nextInt(WORK.length);
        requests.add(new Request((long) time, (long) time + DEADLINES[kind], WORK[kind]));
      }
      return requests;
    }

    /** Serves requests that arrived before the configuration ("early") only if they may wait. */
    private Served serve(List<Request> requests, boolean waiting) {
      StartupBacklog<Request> starting = new StartupBacklog<>(START);
      long[] slotFreeAt = new long[SLOTS];
      PriorityQueue<Request> queue =
          new PriorityQueue<>(Comparator.comparingLong(Request::deadline));
      int[] counts = new int[3];
      for (long now = 0; now < END + 1000; now++) {
        for (Request request : requests) {
          if (request.arrivedAt() == now && now >= CONFIGURED_AT) {
            queue.add(request);
          } else if (request.arrivedAt() == now) {
            Arrival arrival = new Arrival(at(now), at(request.deadline()), 0);
            if (!waiting || starting.offer(request, arrival, at(now)) != Offer.WAITS) {
              counts[2]++;
            }
          }
        }
        counts[2] += starting.expire(at(now)).size();
        if (now >= CONFIGURED_AT) {
          queue.addAll(starting.release(request -> true, 4, at(now)));
        }
        for (int slot = 0; slot < SLOTS && !queue.isEmpty(); slot++) {
          if (slotFreeAt[slot] <= now) {
            Request next = queue.remove();
            slotFreeAt[slot] = now + next.work();
            boolean late = now + next.work() > next.deadline();
            if (late) {
              counts[1]++;
            } else if (next.arrivedAt() < CONFIGURED_AT) {
              counts[0]++;
            }
          }
        }
      }
      return new Served(counts[0], counts[1], counts[2]);
    }

    /** Guards against losing the requests of the first seconds, or new ones for their sake. */
    @Test
    void servesMostRequestsThatArriveBeforeItsConfiguration() {
      for (long seed = 1; seed <= 20; seed++) {
        List<Request> requests = arrivals(seed);
        Served without = serve(requests, false);
        Served with = serve(requests, true);
        int early = without.refused();

        assertThat("seed " + seed, without.early(), is(0));
        assertThat("seed " + seed, with.early(), is(greaterThan(early / 2)));
        assertThat("seed " + seed, with.early() + with.refused(), is(early));
        assertThat("seed " + seed, with.late(), is(0));
        assertThat("seed " + seed, with.refused(), is(lessThan(early / 2)));
      }
    }
  }
}
