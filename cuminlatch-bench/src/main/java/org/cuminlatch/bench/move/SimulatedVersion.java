package org.cuminlatch.bench.move;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Model of the old and new version of a simulated service: decides how each call ends. */
final class SimulatedVersion {

  private static final double BASE_FAILURE_RATE = 0.003;
  private static final double CALLER_ERROR_RATE = 0.02;
  private static final double LATENCY_LOG_SIGMA = 0.5;
  private static final double MIN_SHARE_UNDER_LOAD = 0.4;
  private static final double UNDER_LOAD_FAILURE_RATE = 0.4;
  private static final double ROUTE_FAILURE_RATE = 0.5;
  private static final double LATE_FAILURE_RATE = 0.3;
  private static final double FLAPPING_FAILURE_RATE = 0.3;
  private static final double FLAPPING_PERIOD_SECONDS = 30;
  private static final double FLAPPING_BAD_SECONDS = 10;
  private static final double COLD_START_SECONDS = 20;
  private static final double COLD_LATENCY_FACTOR = 8;
  private static final double[] FAILURE_RATES = {0.1, 0.3, 1};

  private final VersionKind kind;
  private final ServiceProfile profile;
  private final double onsetSeconds;
  private final double immediateFailureRate;
  private final double slowLatencyFactor;
  private final double[] restartSeconds;

  SimulatedVersion(
      VersionKind kind, ServiceProfile profile, double moveSeconds, RandomGenerator random) {
    this.kind = kind;
    this.profile = profile;
    this.onsetSeconds = moveSeconds * random.nextDouble(0.1, 0.85);
    this.immediateFailureRate = FAILURE_RATES[random.nextInt(FAILURE_RATES.length)];
    this.slowLatencyFactor = random.nextDouble(2.5, 5);
    this.restartSeconds = new double[profile.targets()];
    for (int i = 0; i < restartSeconds.length; i++) {
      restartSeconds[i] = random.nextDouble(0, moveSeconds);
    }
  }

  /**
   * How a call ended; {@code causedByFault} is true if it failed or was slow because the version is
   * bad.
   */
  record CallEnd(
      boolean callerError, boolean failed, Duration latency, boolean cold, boolean causedByFault) {}

  boolean isBad() {
    return kind.isBad();
  }

  CallEnd call(
      boolean toNewVersion, int route, double atSeconds, double share, RandomGenerator random) {
    double millis = profile.latencyMillis() * Math.exp(LATENCY_LOG_SIGMA * random.nextGaussian());
    boolean callerError = random.nextDouble() < CALLER_ERROR_RATE;
    boolean baseFailure = random.nextDouble() < BASE_FAILURE_RATE;
    if (!toNewVersion) {
      return new CallEnd(callerError, baseFailure, millis(millis), false, false);
    }
    boolean cold = kind == VersionKind.SLOW_COLD_START && isCold(atSeconds, random);
    boolean causedByFault = random.nextDouble() < failureRate(route, atSeconds, share);
    boolean slow = kind == VersionKind.SLOW_AT_ONCE;
    double latencyFactor = cold ? COLD_LATENCY_FACTOR : slow ? slowLatencyFactor : 1;
    return new CallEnd(
        callerError && !causedByFault,
        baseFailure || causedByFault,
        millis(millis * latencyFactor),
        cold,
        causedByFault || slow);
  }

  private boolean isCold(double atSeconds, RandomGenerator random) {
    double restartAtSeconds = restartSeconds[random.nextInt(restartSeconds.length)];
    return atSeconds >= restartAtSeconds && atSeconds < restartAtSeconds + COLD_START_SECONDS;
  }

  private double failureRate(int route, double atSeconds, double share) {
    return switch (kind) {
      case GOOD, SLOW_AT_ONCE, SLOW_COLD_START -> 0;
      case BAD_AT_ONCE -> immediateFailureRate;
      case BAD_LATE -> atSeconds >= onsetSeconds ? LATE_FAILURE_RATE : 0;
      case BAD_UNDER_LOAD -> share >= MIN_SHARE_UNDER_LOAD ? UNDER_LOAD_FAILURE_RATE : 0;
      case BAD_ON_ROUTE_1 -> route == 2 ? ROUTE_FAILURE_RATE : 0;
      case BAD_ON_ROUTE_10 -> route == 1 ? ROUTE_FAILURE_RATE : 0;
      case FLAPPING ->
          atSeconds % FLAPPING_PERIOD_SECONDS < FLAPPING_BAD_SECONDS ? FLAPPING_FAILURE_RATE : 0;
    };
  }

  private static Duration millis(double millis) {
    return Duration.ofNanos((long) (millis * 1e6));
  }
}
