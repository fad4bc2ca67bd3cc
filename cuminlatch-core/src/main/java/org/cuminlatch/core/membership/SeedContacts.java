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
 * When to contact which seed: often, with full jitter, while no other member is known; now and then
 * later, so that meshes that grew apart meet.
 */
final class SeedContacts {

  private static final Duration FIRST_WAIT = Duration.ofMillis(300);
  private static final Duration RECHECK = Duration.ofSeconds(60);

  private final List<Address> seeds = new ArrayList<>();
  private final Address self;
  private final RandomGenerator random;
  private final MembershipSettings settings;
  private Instant nextAt;
  private int attempts;

  SeedContacts(
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
    nextAt = now.plus(jittered(FIRST_WAIT));
  }

  Optional<Address> due(Roster roster, Instant now) {
    if (nextAt.isAfter(now) || seeds.isEmpty()) {
      return Optional.empty();
    }
    boolean alone = roster.zones().values().stream().mapToInt(zone -> zone.live().size()).sum() < 2;
    nextAt = now.plus(alone ? nextWait() : RECHECK);
    Set<Address> met =
        roster.liveMembers().values().stream()
            .map(Member::controlAddress)
            .collect(Collectors.toSet());
    List<Address> strangers = seeds.stream().filter(seed -> !met.contains(seed)).toList();
    if (strangers.isEmpty()) {
      attempts = 0;
      return Optional.empty();
    }
    return Optional.of(strangers.get(random.nextInt(strangers.size())));
  }

  private Duration nextWait() {
    ExponentialBackoff wait =
        new ExponentialBackoff(settings.joinBackoff(), settings.joinBackoffLimit());
    return jittered(wait.maxDelayAfter(attempts++));
  }

  private Duration jittered(Duration longest) {
    return Duration.ofNanos((long) (random.nextDouble() * longest.toNanos()));
  }
}
