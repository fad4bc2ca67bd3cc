package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalDouble;

/**
 * Token bucket for the requests that are sent to one target, at the rate that the target names in
 * its answers.
 *
 * <p>A target that is short of capacity names the number of requests per second that it accepts.
 * The limit applies from the first answer that names it, and ends with an answer that does not name
 * it to a request that was sent later: an answer to an earlier request may have been written before
 * the target named the limit. Without a limit, each request is permitted.
 *
 * <p>A target may have named a limit to an earlier process of its node. Until its first answer, it
 * therefore gets only a few requests at a time, unless the answer takes long. Not thread-safe.
 */
public final class RequestRateLimit {

  /**
   * Time in which unused permits accumulate. Long enough for requests that arrive together, and
   * short enough that the target gets no noticeable excess.
   */
  static final Duration BURST_INTERVAL = Duration.ofMillis(250);

  /**
   * Lowest rate in requests per second. A target that names a lower one, or 0, still gets a request
   * now and then, as only an answer can tell that the limit has ended.
   */
  static final double MIN_RATE_PER_SECOND = 0.5;

  /** Maximum number of requests at the target before its first answer. */
  static final int MAX_CONCURRENT_BEFORE_ANSWER = 4;

  /** Time after the first request after which the first answer is no longer awaited. */
  static final Duration FIRST_ANSWER_TIMEOUT = Duration.ofSeconds(1);

  private static final double NANOS_PER_SECOND = 1e9;

  private double ratePerSecond = Double.POSITIVE_INFINITY;
  private double permits;
  private Instant permitsAt = Instant.MIN;
  private Instant namedAt = Instant.MIN;
  private Instant firstSentAt = Instant.MAX;
  private boolean answered;

  /**
   * Applies an answer of the target.
   *
   * @param named rate that the answer names, in requests per second; empty if it names none
   * @param sentAt time at which the request that was answered was sent to the target
   * @param now current time
   * @return whether the limit has changed
   */
  public boolean onAnswer(OptionalDouble named, Instant sentAt, Instant now) {
    answered = true;
    double previous = ratePerSecond;
    if (named.isPresent()) {
      check(named.getAsDouble() >= 0, "named", "must not be negative");
      refill(now);
      ratePerSecond = Math.max(MIN_RATE_PER_SECOND, named.getAsDouble());
      permits = Math.min(permits, maxPermits());
      namedAt = now;
    } else if (isLimited() && sentAt.isAfter(namedAt)) {
      ratePerSecond = Double.POSITIVE_INFINITY;
    }
    return ratePerSecond != previous;
  }

  /**
   * Takes a permit if there is one.
   *
   * @param now current time
   * @return whether a request may be sent now
   */
  public boolean tryAcquire(Instant now) {
    refill(now);
    if (isLimited() && permits < 1) {
      return false;
    }
    if (isLimited()) {
      permits -= 1;
    }
    firstSentAt = now.isBefore(firstSentAt) ? now : firstSentAt;
    return true;
  }

  /**
   * Returns the time until a number of requests may have been sent.
   *
   * @param requests number of requests
   * @param now current time
   * @return time until the permit of the last of them; zero if all may be sent now
   */
  public Duration timeUntilPermitted(int requests, Instant now) {
    refill(now);
    if (!isLimited() || permits >= requests) {
      return Duration.ZERO;
    }
    return Duration.ofNanos(
        (long) Math.ceil((requests - permits) / ratePerSecond * NANOS_PER_SECOND));
  }

  /**
   * Returns how many requests the target may execute concurrently.
   *
   * @param slots number of slots of the target
   * @param now current time
   * @return the number of slots, or a smaller number before the first answer of the target
   */
  public int maxConcurrent(int slots, Instant now) {
    boolean awaitsAnswer =
        !answered
            && (firstSentAt.equals(Instant.MAX)
                || now.isBefore(firstSentAt.plus(FIRST_ANSWER_TIMEOUT)));
    return awaitsAnswer ? Math.min(slots, MAX_CONCURRENT_BEFORE_ANSWER) : slots;
  }

  /**
   * Returns the rate that the target has named.
   *
   * @return requests per second; empty if there is no limit
   */
  public OptionalDouble perSecond() {
    return isLimited() ? OptionalDouble.of(ratePerSecond) : OptionalDouble.empty();
  }

  private boolean isLimited() {
    return ratePerSecond != Double.POSITIVE_INFINITY;
  }

  private double maxPermits() {
    return Math.max(1, ratePerSecond * BURST_INTERVAL.toNanos() / NANOS_PER_SECOND);
  }

  /** Adds the permits of the time since the last call; without a limit, none accumulate. */
  private void refill(Instant now) {
    notNull(now, "now");
    if (isLimited() && now.isAfter(permitsAt)) {
      double elapsedNanos = Duration.between(permitsAt, now).toNanos();
      permits = Math.min(maxPermits(), permits + elapsedNanos * ratePerSecond / NANOS_PER_SECOND);
    } else if (!isLimited()) {
      permits = 0;
    }
    permitsAt = now.isAfter(permitsAt) ? now : permitsAt;
  }
}
