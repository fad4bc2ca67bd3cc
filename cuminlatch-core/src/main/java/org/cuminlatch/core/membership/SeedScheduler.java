package org.cuminlatch.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.cuminlatch.core.retry.ExponentialBackoff;

/**
 * Schedules contacts to seeds: frequently, with exponential backoff and full jitter, while no other
 * member is known; afterwards at long intervals, so that a mesh that has split merges again.
 */
final class SeedScheduler {

  private static final Duration MAX_FIRST_DELAY = Duration.ofMillis(300);
  private static final Duration RECHECK_INTERVAL = Duration.ofSeconds(60);

  private final List<Address> seeds = new ArrayList<>();
  private final Address self;
  private final RandomGenerator random;
  private final MembershipSettings settings;
  private Instant nextContactAt;
  private int attempts;

  SeedScheduler(
      List<Address> seeds, Address self, RandomGenerator random, MembershipSettings settings) {
    this.self = self;
    this.random = random;
    this.settings = settings;
    seeds.forEach(this::add);
  }

  void add(Address seed) {
    if (!seed.equals(self) && !seeds.contains(seed)) {
      seeds.add(seed);
    }
  }

  void start(Instant now) {
    nextContactAt = now.plus(jittered(MAX_FIRST_DELAY));
  }

  /** Returns the seed to contact now, if a contact is due and a seed is not yet a known member. */
  Optional<Address> nextDue(Roster roster, Instant now) {
    if (nextContactAt.isAfter(now) || seeds.isEmpty()) {
      return Optional.empty();
    }
    boolean alone = roster.zones().values().stream().mapToInt(zone -> zone.live().size()).sum() < 2;
    nextContactAt = now.plus(alone ? nextDelay() : RECHECK_INTERVAL);
    Set<Address> knownAddresses =
        roster.liveMembers().values().stream()
            .map(Member::controlAddress)
            .collect(Collectors.toSet());
    List<Address> unknownSeeds =
        seeds.stream().filter(seed -> !knownAddresses.contains(seed)).toList();
    if (unknownSeeds.isEmpty()) {
      attempts = 0;
      return Optional.empty();
    }
    return Optional.of(unknownSeeds.get(random.nextInt(unknownSeeds.size())));
  }

  private Duration nextDelay() {
    ExponentialBackoff backoff =
        new ExponentialBackoff(settings.joinBackoffBase(), settings.joinBackoffLimit());
    return jittered(backoff.maxDelayAfter(attempts++));
  }

  private Duration jittered(Duration maxDelay) {
    return Duration.ofNanos((long) (random.nextDouble() * maxDelay.toNanos()));
  }
}
