package org.cuminlatch.bench.call;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.LongFunction;

/**
 * Simulation of calls whose attempts occasionally time out and are retried while the answer and the
 * slot release of the first attempt are still in flight. The target's node restarts occasionally.
 */
final class LateAnswerSimulation {

  static final int SLOTS = 6;

  /** Matches by the caller: each caller has one call at a time. */
  static final LongFunction<IdentityScheme> BY_CALLER =
      seed -> (caller, call, attempt, counter, random) -> caller;

  /** Matches by the call; all attempts of a call have the same identity. */
  static final LongFunction<IdentityScheme> BY_CALL =
      seed -> (caller, call, attempt, counter, random) -> call;

  /** Matches by a counter that starts from 0 again when the node restarts. */
  static final LongFunction<IdentityScheme> BY_COUNTER =
      seed -> (caller, call, attempt, counter, random) -> counter;

  /** Matches by a random identity per attempt. */
  static final LongFunction<IdentityScheme> BY_ATTEMPT =
      seed -> (caller, call, attempt, counter, random) -> random;

  private static final int CALLERS = 24;
  private static final int CALLS_PER_RESTART = 2_000;
  private static final double SLOW_ATTEMPT_SHARE = 0.05;
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(50);
  private static final Duration PAUSE_BETWEEN_CALLS = Duration.ofMillis(5);

  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final Random identityRandom;
  private final IdentityScheme scheme;
  private final Map<Long, Attempt> awaitingAnswer = new HashMap<>();
  private final Map<Long, Attempt> holdingSlots = new HashMap<>();
  private final int calls;
  private int startedCalls;
  private long counter;
  private long attempts;
  private int running;
  private int maxRunning;
  private long wrongAnswers;
  private long wrongReleases;

  private LateAnswerSimulation(LongFunction<IdentityScheme> scheme, int calls, long seed) {
    this.random = new Random(seed);
    this.identityRandom = new Random(seed + 1);
    this.scheme = scheme.apply(seed);
    this.calls = calls;
  }

  static LateAnswerSimulation run(LongFunction<IdentityScheme> scheme, int calls, long seed) {
    LateAnswerSimulation simulation = new LateAnswerSimulation(scheme, calls, seed);
    for (int caller = 0; caller < CALLERS; caller++) {
      simulation.startCall(caller);
    }
    simulation.time.runUntil(simulation.time.now().plus(Duration.ofDays(365)));
    return simulation;
  }

  private void startCall(long caller) {
    if (startedCalls >= calls) {
      return;
    }
    long call = startedCalls++;
    if (startedCalls % CALLS_PER_RESTART == 0) {
      counter = 0;
    }
    attempt(caller, call, 1);
  }

  private void attempt(long caller, long call, int number) {
    long id = scheme.identityOf(caller, call, attempts, counter++, identityRandom.nextLong());
    final Attempt attempt = new Attempt(attempts++, caller, call);
    awaitingAnswer.put(id, attempt);
    if (holdingSlots.size() < SLOTS) {
      holdingSlots.put(id, attempt);
      maxRunning = Math.max(maxRunning, ++running);
      time.after(serviceTime(), () -> onAnswer(id, attempt));
    }
    time.after(ATTEMPT_TIMEOUT, () -> onTimeout(id, attempt, number));
  }

  private Duration serviceTime() {
    boolean slow = random.nextDouble() < SLOW_ATTEMPT_SHARE;
    int millis = slow ? 55 + random.nextInt(100) : 1 + random.nextInt(20);
    return Duration.ofMillis(millis);
  }

  private void onAnswer(long id, Attempt sender) {
    running--;
    release(id, sender);
    Attempt receiver = awaitingAnswer.get(id);
    if (receiver == null) {
      return;
    }
    if (receiver.number() != sender.number()) {
      wrongAnswers++;
    }
    awaitingAnswer.remove(id);
    time.after(PAUSE_BETWEEN_CALLS, () -> startCall(receiver.caller()));
  }

  private void release(long id, Attempt sender) {
    Attempt removed = holdingSlots.remove(id);
    if (removed != null && removed.number() != sender.number()) {
      wrongReleases++;
    }
  }

  private void onTimeout(long id, Attempt attempt, int number) {
    if (awaitingAnswer.get(id) != attempt) {
      return;
    }
    awaitingAnswer.remove(id);
    release(id, attempt);
    if (number == 1) {
      attempt(attempt.caller(), attempt.call(), number + 1);
    } else {
      time.after(PAUSE_BETWEEN_CALLS, () -> startCall(attempt.caller()));
    }
  }

  long wrongAnswers() {
    return wrongAnswers;
  }

  long wrongReleases() {
    return wrongReleases;
  }

  int maxRunning() {
    return maxRunning;
  }

  /** Chooses the identity by which the messages of an attempt are matched. */
  interface IdentityScheme {

    long identityOf(long caller, long call, long attempt, long counter, long random);
  }

  private record Attempt(long number, long caller, long call) {}
}
