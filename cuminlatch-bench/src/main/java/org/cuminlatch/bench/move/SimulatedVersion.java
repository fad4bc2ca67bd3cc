package org.cuminlatch.bench.move;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** New and old version of a simulated service: how each call ends. */
final class SimulatedVersion {

  private static final double BASE_FAILURES = 0.003;
  private static final double CALLER_ERRORS = 0.02;
  private static final double LATENCY_SPREAD = 0.5;
  private static final double UNDER_LOAD_FROM = 0.4;
  private static final double UNDER_LOAD_FAILURES = 0.4;
  private static final double ROUTE_FAILURES = 0.5;
  private static final double LATE_FAILURES = 0.3;
  private static final double FLAPPING_FAILURES = 0.3;
  private static final double FLAPPING_PERIOD_SECONDS = 30;
  private static final double FLAPPING_BAD_SECONDS = 10;
  private static final double COLD_SECONDS = 20;
  private static final double COLD_FACTOR = 8;
  private static final double[] FAILURES = {0.1, 0.3, 1};

  private final VersionKind kind;
  private final ServiceProfile profile;
  private final double onsetSeconds;
  private final double failures;
  private final double slowness;
  private final double[] restarts;

  SimulatedVersion(
      VersionKind kind, ServiceProfile profile, double lengthSeconds, RandomGenerator random) {
    this.kind = kind;
    this.profile = profile;
    this.onsetSeconds = lengthSeconds * random.nextDouble(0.1, 0.85);
    this.failures = FAILURES[random.nextInt(FAILURES.length)];
    this.slowness = random.nextDouble(2.5, 5);
    this.restarts = new double[profile.targets()];
    for (int i = 0; i < restarts.length; i++) {
      restarts[i] = random.nextDouble(0, lengthSeconds);
    }
  }

  /** How a call ended; injected tells whether it ended badly because the version is bad. */
  record Ending(
      boolean callerError, boolean failed, Duration latency, boolean cold, boolean injected) {}

  boolean isBad() {
    return kind.isBad();
  }

  Ending call(boolean fresh, int route, double atSeconds, double share, RandomGenerator random) {
    double millis = profile.latencyMillis() * Math.exp(LATENCY_SPREAD * random.nextGaussian());
    boolean callerError = random.nextDouble() < CALLER_ERRORS;
    boolean baseFailure = random.nextDouble() < BASE_FAILURES;
    if (!fresh) {
      return new Ending(callerError, baseFailure, millis(millis), false, false);
    }
    boolean cold = kind == VersionKind.SLOW_COLD_START && isCold(atSeconds, random);
    boolean injected = random.nextDouble() < failureRate(route, atSeconds, share);
    boolean slow = kind == VersionKind.SLOW_AT_ONCE;
    double factor = cold ? COLD_FACTOR : slow ? slowness : 1;
    return new Ending(
        callerError && !injected,
        baseFailure || injected,
        millis(millis * factor),
        cold,
        injected || slow);
  }

  private boolean isCold(double atSeconds, RandomGenerator random) {
    double restart = restarts[random.nextInt(restarts.length)];
    return atSeconds >= restart && atSeconds < restart + COLD_SECONDS;
  }

  private double failureRate(int route, double atSeconds, double share) {
    return switch (kind) {
      case GOOD, SLOW_AT_ONCE, SLOW_COLD_START -> 0;
      case BAD_AT_ONCE -> failures;
      case BAD_LATE -> atSeconds >= onsetSeconds ? LATE_FAILURES : 0;
      case BAD_UNDER_LOAD -> share >= UNDER_LOAD_FROM ? UNDER_LOAD_FAILURES : 0;
      case BAD_ON_ROUTE_1 -> route == 2 ? ROUTE_FAILURES : 0;
      case BAD_ON_ROUTE_10 -> route == 1 ? ROUTE_FAILURES : 0;
      case FLAPPING ->
          atSeconds % FLAPPING_PERIOD_SECONDS < FLAPPING_BAD_SECONDS ? FLAPPING_FAILURES : 0;
    };
  }

  private static Duration millis(double millis) {
    return Duration.ofNanos((long) (millis * 1e6));
  }
}
