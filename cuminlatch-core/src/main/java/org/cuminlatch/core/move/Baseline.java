package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Upper confidence bound on the probability of an event, such as a failure, with the old version.
 *
 * <p>The bound is the larger of two: one over the whole move so far and one over the latest calls.
 * The latter keeps a disturbance that affects both versions from being attributed to the new one.
 */
final class Baseline {

  private static final double HISTORY_BOUND_ERROR_RATE = 1e-2;
  private static final double RECENT_STANDARD_DEVIATIONS = 1;
  private static final long MIN_RECENT_TRIALS = 50;

  /** Age above which a sample is dropped if the remaining ones hold enough trials. */
  private static final Duration MIN_RECENT_WINDOW = Duration.ofSeconds(5);

  /** Age above which a sample is dropped in any case. */
  private static final Duration MAX_RECENT_WINDOW = Duration.ofSeconds(60);

  /** Growth of the trials after which the bound over the whole move is computed again. */
  private static final double HISTORY_UPDATE_GROWTH_FACTOR = 1.05;

  private final Deque<Sample> recentSamples = new ArrayDeque<>();
  private long events;
  private long trials;
  private long recentEvents;
  private long recentTrials;
  private long historyBoundTrials;
  private double historyBound = 1;

  void add(long newEvents, long newTrials, Instant now) {
    events += newEvents;
    trials += newTrials;
    if (newTrials > 0) {
      recentSamples.addLast(new Sample(newEvents, newTrials, now));
      recentEvents += newEvents;
      recentTrials += newTrials;
    }
    dropOldSamples(now);
  }

  /** Returns the bound that applies to calls made at about the time of the latest sample. */
  double upperBound() {
    if (trials > historyBoundTrials * HISTORY_UPDATE_GROWTH_FACTOR) {
      historyBound = ConfidenceBounds.clopperPearsonUpper(events, trials, HISTORY_BOUND_ERROR_RATE);
      historyBoundTrials = trials;
    }
    double recentBound =
        ConfidenceBounds.wilsonUpper(recentEvents, recentTrials, RECENT_STANDARD_DEVIATIONS);
    return Math.max(historyBound, recentBound);
  }

  long events() {
    return events;
  }

  long trials() {
    return trials;
  }

  private void dropOldSamples(Instant now) {
    while (!recentSamples.isEmpty()) {
      Sample oldest = recentSamples.getFirst();
      Duration age = Duration.between(oldest.at(), now);
      boolean enoughRemain = recentTrials - oldest.trials() >= MIN_RECENT_TRIALS;
      boolean expired = age.compareTo(enoughRemain ? MIN_RECENT_WINDOW : MAX_RECENT_WINDOW) > 0;
      if (!expired) {
        return;
      }
      recentSamples.removeFirst();
      recentEvents -= oldest.events();
      recentTrials -= oldest.trials();
    }
  }

  private record Sample(long events, long trials, Instant at) {}
}
