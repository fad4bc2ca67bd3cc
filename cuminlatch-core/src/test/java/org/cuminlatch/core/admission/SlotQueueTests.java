package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cuminlatch.core.admission.SlotDecision.Kind;
import org.cuminlatch.core.retry.AttemptId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A slot queue")
class SlotQueueTests {

  private static final Instant START = Instant.EPOCH;
  private static final Duration SERVICE_TIME = Duration.ofMillis(100);

  private Instant now = START;
  private long nextId;

  private SlotRequest request(String route, Duration timeout) {
    return new SlotRequest(new AttemptId(0, nextId++), route, now.plus(timeout));
  }

  private SlotRequest request(Duration timeout) {
    return request("bookings", timeout);
  }

  private void learnServiceTime(SlotQueue queue, String route) {
    for (int i = 0; i < 20; i++) {
      SlotRequest sample = request(route, Duration.ofSeconds(10));
      assertThat(queue.offer(sample, now), is(Kind.ADMITTED));
      now = now.plus(SERVICE_TIME);
      queue.release(sample.attempt(), SlotEnd.ANSWERED, now);
    }
  }

  @Nested
  class WhenSlotIsFree {

    @Test
    void admitsImmediately() {
      SlotQueue queue = new SlotQueue(1);

      assertThat(queue.offer(request(SERVICE_TIME), now), is(Kind.ADMITTED));
      assertThat(queue.offer(request(SERVICE_TIME), now), is(Kind.QUEUED));
    }

    @Test
    void refusesWhenServiceTimeExceedsDeadline() {
      SlotQueue queue = new SlotQueue(1);
      learnServiceTime(queue, "bookings");

      assertThat(queue.offer(request(Duration.ofMillis(50)), now), is(Kind.DEADLINE));
    }
  }

  @Nested
  class WhenAllSlotsAreHeld {

    @Test
    void admitsEarliestDeadlineFirst() {
      SlotQueue queue = new SlotQueue(1);
      SlotRequest holder = request(Duration.ofSeconds(9));
      queue.offer(holder, now);
      SlotRequest late = request(Duration.ofSeconds(8));
      queue.offer(late, now);
      SlotRequest early = request(Duration.ofSeconds(5));
      queue.offer(early, now);

      queue.release(holder.attempt(), SlotEnd.OTHER, now);

      assertThat(queue.poll(now), contains(new SlotDecision(early.attempt(), Kind.ADMITTED)));
    }

    @Test
    void refusesOnArrivalWhenQueueMakesItTooLate() {
      SlotQueue queue = new SlotQueue(1);
      learnServiceTime(queue, "bookings");
      queue.offer(request(Duration.ofSeconds(1)), now);
      queue.offer(request(Duration.ofMillis(240)), now);

      assertThat(queue.offer(request(Duration.ofMillis(240)), now), is(Kind.DEADLINE));
      assertThat(queue.offer(request(Duration.ofMillis(270)), now), is(Kind.QUEUED));
    }

    @Test
    void refusesWaitingAttemptOnceDeadlineCannotBeMet() {
      SlotQueue queue = new SlotQueue(1);
      learnServiceTime(queue, "bookings");
      queue.offer(request(Duration.ofSeconds(9)), now);
      SlotRequest waiting = request(Duration.ofMillis(200));
      queue.offer(waiting, now);

      assertThat(queue.poll(now.plusMillis(99)), empty());
      assertThat(
          queue.poll(now.plusMillis(101)),
          contains(new SlotDecision(waiting.attempt(), Kind.DEADLINE)));
    }

    @Test
    void boundsQueueLength() {
      SlotQueue queue = new SlotQueue(2);
      int admittedOrQueued = 0;
      for (int i = 0; i < 100; i++) {
        Kind kind = queue.offer(request(Duration.ofSeconds(9)), now);
        admittedOrQueued += kind == Kind.QUEUE_FULL ? 0 : 1;
      }

      assertThat(admittedOrQueued, is(2 + 2 * SlotQueue.MAX_QUEUED_PER_SLOT));
    }
  }

  @Nested
  class WhenSlotsAreReleased {

    @Test
    void ignoresReleaseByAttemptWithoutSlot() {
      SlotQueue queue = new SlotQueue(1);
      SlotRequest timedOut = request(Duration.ofSeconds(1));
      queue.offer(timedOut, now);
      queue.release(timedOut.attempt(), SlotEnd.OVERLOADED, now);
      SlotRequest next = request(Duration.ofSeconds(1));
      queue.offer(next, now);

      Optional<Duration> lateRelease = queue.release(timedOut.attempt(), SlotEnd.ANSWERED, now);

      assertThat(lateRelease.isEmpty(), is(true));
      assertThat(queue.busy(), is(1));
      assertThat(queue.offer(request(Duration.ofSeconds(1)), now), is(Kind.QUEUED));
    }
  }

  @Nested
  class WithSeveralRoutes {

    @Test
    void reservesSlotsForOtherActiveRoutes() {
      SlotQueue queue = new SlotQueue(6);
      SlotRequest booking = request("bookings", Duration.ofSeconds(9));
      queue.offer(booking, now);
      queue.release(booking.attempt(), SlotEnd.ANSWERED, now);
      for (int i = 0; i < 20; i++) {
        queue.offer(request("drawings", Duration.ofMinutes(5)), now);
      }

      assertThat(queue.busy(), is(5));
      SlotRequest urgent = request("bookings", Duration.ofSeconds(1));
      assertThat(queue.offer(urgent, now), is(Kind.QUEUED));
      assertThat(queue.poll(now), contains(new SlotDecision(urgent.attempt(), Kind.ADMITTED)));
    }

    @Test
    void grantsEqualSharesUnderContention() {
      SlotQueue queue = new SlotQueue(6);
      List<AttemptId> held = new ArrayList<>();
      Set<AttemptId> drawings = new HashSet<>();
      for (int i = 0; i < 40; i++) {
        SlotRequest drawing = request("drawings", Duration.ofMinutes(1));
        drawings.add(drawing.attempt());
        if (queue.offer(drawing, now) == Kind.ADMITTED) {
          held.add(drawing.attempt());
        }
        SlotRequest booking = request("bookings", Duration.ofMinutes(2));
        if (queue.offer(booking, now) == Kind.ADMITTED) {
          held.add(booking.attempt());
        }
      }
      for (AttemptId attempt : List.copyOf(held)) {
        queue.release(attempt, SlotEnd.ANSWERED, now);
        held.remove(attempt);
        queue.poll(now).forEach(decision -> held.add(decision.attempt()));
      }

      assertThat(held.size(), is(6));
      assertThat(held.stream().filter(drawings::contains).count(), is(3L));
    }
  }

  @Nested
  class WhenTargetSlowsDown {

    @Test
    void lowersLimitOnOverloadAndRaisesItOnSuccess() {
      SlotQueue queue = new SlotQueue(10);
      for (int i = 0; i < 20; i++) {
        SlotRequest shed = request(Duration.ofSeconds(9));
        queue.offer(shed, now);
        now = now.plusMillis(250);
        queue.release(shed.attempt(), SlotEnd.OVERLOADED, now);
      }
      final int low = queue.limit();
      for (int i = 0; i < 200; i++) {
        SlotRequest served = request(Duration.ofSeconds(9));
        queue.offer(served, now);
        queue.release(served.attempt(), SlotEnd.ANSWERED, now);
      }

      assertThat(low, is(1));
      assertThat(queue.limit(), is(10));
    }

    @Test
    void refusesEarlierAfterServiceTimeHasGrown() {
      SlotQueue queue = new SlotQueue(1);
      learnServiceTime(queue, "bookings");
      SlotRequest slow = request(Duration.ofSeconds(9));
      queue.offer(slow, now);
      SlotRequest early = request(Duration.ofMillis(300));
      assertThat(queue.offer(early, now), is(Kind.QUEUED));
      queue.withdraw(early.attempt());

      now = now.plusSeconds(2);
      queue.release(slow.attempt(), SlotEnd.ANSWERED, now);
      queue.offer(request(Duration.ofSeconds(9)), now);

      assertThat(queue.offer(request(Duration.ofMillis(300)), now), is(Kind.DEADLINE));
    }
  }

  @Nested
  class WhenDraining {

    @Test
    void refusesWaitingAndArrivingAttempts() {
      SlotQueue queue = new SlotQueue(1);
      queue.offer(request(Duration.ofSeconds(9)), now);
      SlotRequest waiting = request(Duration.ofSeconds(9));
      queue.offer(waiting, now);

      List<SlotDecision> refused = queue.drain();

      assertThat(refused, contains(new SlotDecision(waiting.attempt(), Kind.DRAINING)));
      assertThat(queue.offer(request(Duration.ofSeconds(9)), now), is(Kind.DRAINING));
      assertThat(queue.busy(), is(1));
    }
  }

  @Property(tries = 200, seed = "42")
  void neverExceedsItsSlotsAndNeverLosesOne(
      @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 9) Integer> steps) {
    SlotQueue queue = new SlotQueue(3);
    Set<AttemptId> held = new HashSet<>();
    for (int step : steps) {
      now = now.plusMillis(step);
      if (step < 5) {
        SlotRequest asked = request("route-" + step % 2, Duration.ofMillis(20L * (step + 1)));
        if (queue.offer(asked, now) == Kind.ADMITTED) {
          held.add(asked.attempt());
        }
      } else if (!held.isEmpty()) {
        AttemptId holder = held.iterator().next();
        held.remove(holder);
        queue.release(holder, SlotEnd.values()[step % SlotEnd.values().length], now);
      }
      for (SlotDecision decision : queue.poll(now)) {
        if (decision.kind() == Kind.ADMITTED) {
          held.add(decision.attempt());
        }
      }
      assertThat(queue.busy(), is(held.size()));
      assertThat(held.size(), lessThanOrEqualTo(3));
      assertThat(queue.limit(), greaterThan(0));
      assertThat(queue.queued(), lessThan(1 + 3 * SlotQueue.MAX_QUEUED_PER_SLOT));
    }
  }
}
