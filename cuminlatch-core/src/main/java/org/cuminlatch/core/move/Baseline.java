package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bound on the probability of an event with the old version: over the whole move so far, and over
 * the latest calls, so that trouble that meets both versions is not blamed on the new one.
 */
final class Baseline {

  private static final double HISTORY_ERROR_RATE = 1e-2;
  private static final double RECENT_DEVIATIONS = 1;
  private static final long RECENT_TRIALS = 50;
  private static final Duration RECENT_AT_LEAST = Duration.ofSeconds(5);
  private static final Duration RECENT_AT_MOST = Duration.ofSeconds(60);
  private static final double GROWTH_BEFORE_UPDATE = 1.05;

  private final Deque<Sample> recent = new ArrayDeque<>();
  private long events;
  private long trials;
  private long recentEvents;
  private long recentTrials;
  private long boundTrials;
  private double historyBound = 1;

  void add(long newEvents, long newTrials, Instant now) {
    events += newEvents;
    trials += newTrials;
    if (newTrials > 0) {
      recent.addLast(new Sample(newEvents, newTrials, now));
      recentEvents += newEvents;
      recentTrials += newTrials;
    }
    dropOld(now);
  }

  /** Returns the bound that holds for calls made about now. */
  double bound() {
    if (trials > boundTrials * GROWTH_BEFORE_UPDATE) {
      historyBound = ConfidenceBounds.clopperPearsonUpper(events, trials, HISTORY_ERROR_RATE);
      boundTrials = trials;
    }
    double recentBound =
        ConfidenceBounds.wilsonUpper(recentEvents, recentTrials, RECENT_DEVIATIONS);
    return Math.max(historyBound, recentBound);
  }

  long events() {
    return events;
  }

  long trials() {
    return trials;
  }

  private void dropOld(Instant now) {
    while (!recent.isEmpty()) {
      Sample oldest = recent.getFirst();
      Duration age = Duration.between(oldest.at(), now);
      boolean enough = recentTrials - oldest.trials() >= RECENT_TRIALS;
      boolean old = age.compareTo(enough ? RECENT_AT_LEAST : RECENT_AT_MOST) > 0;
      if (!old) {
        return;
      }
      recent.removeFirst();
      recentEvents -= oldest.events();
      recentTrials -= oldest.trials();
    }
  }

  private record Sample(long events, long trials, Instant at) {}
}
