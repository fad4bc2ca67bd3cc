package org.cuminlatch.bench.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/** Queue of events in virtual time; one thread runs them in order. */
final class VirtualTime {

  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  private record Event(long atNanos, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atNanos() == b.atNanos()
                  ? Long.compare(a.order(), b.order())
                  : Long.compare(a.atNanos(), b.atNanos()));
  private long nanos;
  private long order;

  Instant now() {
    return START.plusNanos(nanos);
  }

  void after(Duration wait, Runnable action) {
    events.add(new Event(nanos + wait.toNanos(), order++, action));
  }

  void run(Duration duration) {
    long end = nanos + duration.toNanos();
    while (!events.isEmpty() && events.peek().atNanos() <= end) {
      Event event = events.poll();
      nanos = event.atNanos();
      event.action().run();
    }
    nanos = end;
  }
}
