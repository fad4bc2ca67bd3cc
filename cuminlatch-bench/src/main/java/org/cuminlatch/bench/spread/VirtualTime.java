package org.cuminlatch.bench.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/** Event queue in virtual time; a single thread runs the events in order. */
final class VirtualTime {

  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  private record Event(long atNanos, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atNanos() == b.atNanos()
                  ? Long.compare(a.sequence(), b.sequence())
                  : Long.compare(a.atNanos(), b.atNanos()));
  private long nowNanos;
  private long sequence;

  Instant now() {
    return START.plusNanos(nowNanos);
  }

  void after(Duration delay, Runnable action) {
    events.add(new Event(nowNanos + delay.toNanos(), sequence++, action));
  }

  void run(Duration duration) {
    long end = nowNanos + duration.toNanos();
    while (!events.isEmpty() && events.peek().atNanos() <= end) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.action().run();
    }
    nowNanos = end;
  }
}
