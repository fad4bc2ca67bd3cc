package org.cuminlatch.bench.call;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Event loop in virtual time; equal times run in the order in which they were scheduled. */
final class VirtualTime {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::order));
  private Instant now = Instant.EPOCH;
  private long scheduled;

  Instant now() {
    return now;
  }

  void after(Duration delay, Runnable action) {
    events.add(new Event(now.plus(delay), scheduled++, action));
  }

  /** Runs all events before a time. */
  void runUntil(Instant end) {
    while (!events.isEmpty() && events.peek().at().isBefore(end)) {
      Event next = events.poll();
      now = next.at();
      next.action().run();
    }
  }

  private record Event(Instant at, long order, Runnable action) {}
}
