package org.cuminlatch.bench.call;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.LongFunction;

/**
 * Calls whose attempts time out now and then and are repeated while the first one's answer and its
 * release are still under way; the node beside the target restarts now and then.
 */
final class LateAnswers {

  static final int SLOTS = 6;

  /** Identity of the caller: each caller has one call at a time. */
  static final LongFunction<Identity> BY_CALLER =
      seed -> (caller, call, attempt, counter, random) -> caller;

  /** Identity of the call, equal for its attempts. */
  static final LongFunction<Identity> BY_CALL =
      seed -> (caller, call, attempt, counter, random) -> call;

  /** Counter that starts again when the node restarts. */
  static final LongFunction<Identity> BY_COUNTER =
      seed -> (caller, call, attempt, counter, random) -> counter;

  /** Random identity of the attempt. */
  static final LongFunction<Identity> BY_ATTEMPT =
      seed -> (caller, call, attempt, counter, random) -> random;

  private static final int CALLERS = 24;
  private static final int CALLS_PER_RESTART = 2_000;
  private static final double SLOW_SHARE = 0.05;
  private static final Duration TIMEOUT = Duration.ofMillis(50);
  private static final Duration GAP = Duration.ofMillis(5);

  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final Random identities;
  private final Identity identity;
  private final Map<Long, Attempt> waiting = new HashMap<>();
  private final Map<Long, Attempt> holding = new HashMap<>();
  private final int calls;
  private int started;
  private long counter;
  private long attempts;
  private int running;
  private int mostRunning;
  private long wrongAnswers;
  private long wrongReleases;

  private LateAnswers(LongFunction<Identity> identity, int calls, long seed) {
    this.random = new Random(seed);
    this.identities = new Random(seed + 1);
    this.identity = identity.apply(seed);
    this.calls = calls;
  }

  static LateAnswers run(LongFunction<Identity> identity, int calls, long seed) {
    LateAnswers simulation = new LateAnswers(identity, calls, seed);
    for (int caller = 0; caller < CALLERS; caller++) {
      simulation.nextCall(caller);
    }
    simulation.time.runUntil(simulation.time.now().plus(Duration.ofDays(365)));
    return simulation;
  }

  private void nextCall(long caller) {
    if (started >= calls) {
      return;
    }
    long call = started++;
    if (started % CALLS_PER_RESTART == 0) {
      counter = 0;
    }
    attempt(caller, call, 1);
  }

  private void attempt(long caller, long call, int number) {
    long id = identity.of(caller, call, attempts, counter++, identities.nextLong());
    final Attempt attempt = new Attempt(attempts++, caller, call);
    waiting.put(id, attempt);
    if (holding.size() < SLOTS) {
      holding.put(id, attempt);
      mostRunning = Math.max(mostRunning, ++running);
      time.after(serviceTime(), () -> answered(id, attempt));
    }
    time.after(TIMEOUT, () -> timedOut(id, attempt, number));
  }

  private Duration serviceTime() {
    boolean slow = random.nextDouble() < SLOW_SHARE;
    int millis = slow ? 55 + random.nextInt(100) : 1 + random.nextInt(20);
    return Duration.ofMillis(millis);
  }

  private void answered(long id, Attempt sender) {
    running--;
    release(id, sender);
    Attempt taker = waiting.get(id);
    if (taker == null) {
      return;
    }
    if (taker.number() != sender.number()) {
      wrongAnswers++;
    }
    waiting.remove(id);
    time.after(GAP, () -> nextCall(taker.caller()));
  }

  private void release(long id, Attempt sender) {
    Attempt released = holding.remove(id);
    if (released != null && released.number() != sender.number()) {
      wrongReleases++;
    }
  }

  private void timedOut(long id, Attempt attempt, int number) {
    if (waiting.get(id) != attempt) {
      return;
    }
    waiting.remove(id);
    release(id, attempt);
    if (number == 1) {
      attempt(attempt.caller(), attempt.call(), number + 1);
    } else {
      time.after(GAP, () -> nextCall(attempt.caller()));
    }
  }

  long wrongAnswers() {
    return wrongAnswers;
  }

  long wrongReleases() {
    return wrongReleases;
  }

  int mostRunning() {
    return mostRunning;
  }

  /** Identity under which an attempt's messages are matched. */
  interface Identity {

    long of(long caller, long call, long attempt, long counter, long random);
  }

  private record Attempt(long number, long caller, long call) {}
}
