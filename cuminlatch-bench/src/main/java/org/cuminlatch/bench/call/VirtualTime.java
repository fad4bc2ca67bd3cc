package org.cuminlatch.bench.call;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Event loop in virtual time; events due at the same time run in the order of scheduling. */
final class VirtualTime {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::sequence));
  private Instant now = Instant.EPOCH;
  private long scheduledEvents;

  Instant now() {
    return now;
  }

  void after(Duration delay, Runnable action) {
    events.add(new Event(now.plus(delay), scheduledEvents++, action));
  }

  /** Runs all events due before the given time. */
  void runUntil(Instant end) {
    while (!events.isEmpty() && events.peek().at().isBefore(end)) {
      Event next = events.poll();
      now = next.at();
      next.action().run();
    }
  }

  private record Event(Instant at, long sequence, Runnable action) {}
}
