package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalDouble;

/**
 * Limit on the requests that are sent to one target, at the rate that the target names in its
 * answers, and at that of a cold target.
 *
 * <p>A target that is short of capacity names the number of requests per second that it accepts.
 * The limit applies from the first answer that names it, and ends with an answer that does not name
 * it to a request that was sent later: an answer to an earlier request may have been written before
 * the target named the limit. Without a limit, each request is permitted.
 *
 * <p>A target may have named a limit to an earlier process of its node. Entry nodes that have
 * passed on such an answer tell it with their attempts, and the limit applies until the first
 * answer. For attempts of others the target gets only a few requests at a time until its first
 * answer, unless that takes long. Not thread-safe.
 */
public final class RequestRateLimit {

  /** Maximum number of requests at the target before its first answer. */
  static final int MAX_CONCURRENT_BEFORE_ANSWER = 4;

  /** Time after the first request after which the first answer is no longer awaited. */
  static final Duration FIRST_ANSWER_TIMEOUT = Duration.ofSeconds(1);

  private final PermitBucket named = new PermitBucket();
  private final ColdRateLimit cold;
  private Instant namedAt = Instant.MIN;
  private Instant firstSentAt = Instant.MAX;
  private boolean answered;

  /** Creates a limit of a target that is never cold. */
  public RequestRateLimit() {
    this(new ColdRateLimit());
  }

  /**
   * Creates a limit.
   *
   * @param cold further limit, which applies while the target is cold
   */
  public RequestRateLimit(ColdRateLimit cold) {
    this.cold = notNull(cold, "cold");
  }

  /**
   * Applies an answer of the target.
   *
   * @param perSecond rate that the answer names, in requests per second; empty if it names none
   * @param sentAt time at which the request that was answered was sent to the target
   * @param now current time
   * @return whether the limit has changed
   */
  public boolean onAnswer(OptionalDouble perSecond, Instant sentAt, Instant now) {
    answered = true;
    double previous = named.ratePerSecond();
    if (perSecond.isPresent()) {
      check(perSecond.getAsDouble() >= 0, "perSecond", "must not be negative");
      named.setRate(perSecond.getAsDouble(), now);
      namedAt = now;
    } else if (named.isLimited() && sentAt.isAfter(namedAt)) {
      named.setRate(Double.POSITIVE_INFINITY, now);
    }
    return named.ratePerSecond() != previous;
  }

  /**
   * Applies a limit that the target has named to an entry node, until its first answer.
   *
   * @param perSecond rate in requests per second
   * @param now current time
   * @return whether the limit has changed
   */
  public boolean assume(double perSecond, Instant now) {
    if (answered || named.isLimited() || !(perSecond >= 0)) {
      return false;
    }
    named.setRate(perSecond, now);
    namedAt = now;
    return named.isLimited();
  }

  /**
   * Takes a permit if there is one.
   *
   * @param now current time
   * @return whether a request may be sent now
   */
  public boolean tryAcquire(Instant now) {
    if (!named.hasPermit(now) || !cold.hasPermit(now)) {
      return false;
    }
    named.take();
    cold.take();
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
    Duration untilNamed = named.timeUntilPermitted(requests, now);
    Duration untilCold = cold.timeUntilPermitted(requests, now);
    return untilNamed.compareTo(untilCold) > 0 ? untilNamed : untilCold;
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
    return named.isLimited() ? OptionalDouble.of(named.ratePerSecond()) : OptionalDouble.empty();
  }

  /**
   * Returns the rate at which requests are permitted.
   *
   * @param now current time
   * @return requests per second; infinite if there is no limit
   */
  public double permittedPerSecond(Instant now) {
    return Math.min(named.ratePerSecond(), cold.perSecond(now));
  }
}
