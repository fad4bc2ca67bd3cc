package org.cuminlatch.core.account;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cuminlatch.core.account.Inquiry.Source;

/**
 * Schedules the inquiries of a node whose proof grows old: first in its zone, then in another zone,
 * then to the store. Not thread-safe.
 *
 * <p>Ages are shares of the bound, 5 s on the known deployments. The reader of a zone renews its
 * proof every 1.5 s with one that is 1.5 s old by then, so that its age stays below 3 s (0.6), or
 * 3.4 s (0.68) while the configuration changes. Others ask it from 0.5 on. What costs transfer or
 * calls to the store begins above the ages that occur while the readers work.
 */
public final class InquirySchedule {

  /** Age from which other zones are asked, and from which a reader asks at all. */
  private static final double OTHER_ZONE_SHARE = 0.74;

  private static final double ZONE_SHARE = 0.5;

  /** Age from which the first nodes of a zone read the store. */
  private static final double STORE_SHARE = 0.82;

  /** Age from which other nodes read the store; those that read earlier can tell them before. */
  private static final double LAST_STORE_SHARE = 0.9;

  private static final Duration STORE_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MAX_STORE_INTERVAL = Duration.ofSeconds(8);
  private static final Duration LAST_STORE_INTERVAL = Duration.ofSeconds(4);
  private static final Duration MAX_LAST_STORE_INTERVAL = Duration.ofSeconds(16);

  private final Duration bound;
  private final Map<Source, State> states = new EnumMap<>(Source.class);
  private Optional<Duration> since = Optional.empty();

  InquirySchedule(Duration bound) {
    this.bound = notNull(bound, "bound");
    for (Source source : Source.values()) {
      states.put(source, new State());
    }
  }

  /** What a node does for its zone. */
  public enum Role {
    /** Follows the store for its zone. */
    READER,
    /** Is one of the first to read the store if no reader can tell. */
    SUBSTITUTE,
    /** Asks other nodes. */
    OTHER
  }

  /** Inquiries to one source since its answers last had an effect. */
  private static final class State {

    private Optional<Duration> lastAskedAt = Optional.empty();
    private int attempts;
    private boolean unavailable;

    private void reset() {
      attempts = 0;
      unavailable = false;
    }
  }

  /**
   * Returns the inquiries that are due.
   *
   * @param latestAge age of the latest proof, also if its version is not in force yet; other nodes
   *     have no better one. Empty if there is none
   * @param ageInForce age of the latest proof for the version in force, empty if there is none
   * @param now the current time
   * @param roleNow returns what the node does for its zone
   * @return the inquiries, nearest source first
   */
  List<Inquiry> due(
      Optional<Duration> latestAge,
      Optional<Duration> ageInForce,
      Duration now,
      Supplier<Role> roleNow) {
    if (ageInForce.filter(age -> age.compareTo(ageOf(ZONE_SHARE)) < 0).isPresent()) {
      since = Optional.empty();
      states.values().forEach(State::reset);
      return List.of();
    }
    Role role = roleNow.get();
    List<Inquiry> due = new ArrayList<>();
    for (Source source : Source.values()) {
      State state = states.get(source);
      Optional<Duration> age = source == Source.STORE ? ageInForce : latestAge;
      if (age.isPresent() && age.get().compareTo(minAge(source, role)) < 0) {
        state.reset();
      } else if (isDue(source, state, now, role)) {
        due.add(new Inquiry(source, state.attempts));
        state.attempts++;
        state.lastAskedAt = Optional.of(now);
        state.unavailable = false;
      }
    }
    return due;
  }

  private boolean isDue(Source source, State state, Duration now, Role role) {
    if (since.isEmpty()) {
      since = Optional.of(now);
    }
    boolean nearerHaveHadTime =
        now.compareTo(since.get().plus(escalationDelay(source))) >= 0
            || nearerAreUnavailable(source);
    return nearerHaveHadTime
        && state
            .lastAskedAt
            .filter(last -> now.minus(last).compareTo(interval(source, state, role)) < 0)
            .isEmpty();
  }

  private boolean nearerAreUnavailable(Source source) {
    return states.entrySet().stream()
        .filter(entry -> entry.getKey().compareTo(source) < 0)
        .allMatch(entry -> entry.getValue().unavailable);
  }

  void markUnavailable(Source source) {
    states.get(source).unavailable = true;
  }

  private Duration minAge(Source source, Role role) {
    double share =
        switch (source) {
          case ZONE -> role == Role.READER ? OTHER_ZONE_SHARE : ZONE_SHARE;
          case OTHER_ZONE -> OTHER_ZONE_SHARE;
          case STORE -> role == Role.OTHER ? LAST_STORE_SHARE : STORE_SHARE;
        };
    return ageOf(share);
  }

  private Duration ageOf(double share) {
    return Duration.ofNanos((long) (bound.toNanos() * share));
  }

  /**
   * Returns the time that nearer sources have to answer. It matters after a suspension or a change
   * of the time of day, which make a proof old at once.
   */
  private static Duration escalationDelay(Source source) {
    return switch (source) {
      case ZONE -> Duration.ZERO;
      case OTHER_ZONE -> Duration.ofMillis(150);
      case STORE -> Duration.ofMillis(400);
    };
  }

  /** Returns the time to the next inquiry, which doubles with each one that has no effect. */
  private static Duration interval(Source source, State state, Role role) {
    Duration first =
        switch (source) {
          case ZONE -> Duration.ofMillis(250);
          case OTHER_ZONE -> Duration.ofMillis(300);
          case STORE -> role == Role.OTHER ? LAST_STORE_INTERVAL : STORE_INTERVAL;
        };
    Duration last =
        switch (source) {
          case ZONE -> Duration.ofMillis(500);
          case OTHER_ZONE -> Duration.ofMillis(2400);
          case STORE -> role == Role.OTHER ? MAX_LAST_STORE_INTERVAL : MAX_STORE_INTERVAL;
        };
    Duration interval = first;
    for (int i = 1; i < state.attempts && interval.compareTo(last) < 0; i++) {
      interval = interval.multipliedBy(2);
    }
    return interval.compareTo(last) < 0 ? interval : last;
  }
}
