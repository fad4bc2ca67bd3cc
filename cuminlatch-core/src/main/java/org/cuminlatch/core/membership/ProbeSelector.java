package org.cuminlatch.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.membership.Locality.Distance;

/**
 * Selects the members to probe: each member of the local zone once per round in random order, and
 * on delegates also members of other zones.
 *
 * <p>Source of the randomized round: Das, Gupta, Motivala, "SWIM" (2002), section 4.3.
 */
final class ProbeSelector {

  /** Time without an answer from another zone after which it is considered unreachable. */
  private static final Duration UNREACHABLE_TIMEOUT = Duration.ofSeconds(4);

  /** Number of members probed per interval in an unreachable zone, instead of one. */
  private static final int UNREACHABLE_ZONE_PROBES = 4;

  private final Roster roster;
  private final ZoneDelegates delegates;
  private final Member self;
  private final RandomGenerator random;
  private final List<String> probeRound = new ArrayList<>();
  private final Map<Locality, Instant> lastContactAt = new HashMap<>();
  private final Map<Locality, Instant> unansweredSince = new HashMap<>();
  private int zoneIndex;

  ProbeSelector(Roster roster, ZoneDelegates delegates, Member self, RandomGenerator random) {
    this.roster = roster;
    this.delegates = delegates;
    this.self = self;
    this.random = random;
  }

  /** Records a message received directly from a member of a zone. */
  void recordContact(Locality zone, Instant now) {
    lastContactAt.put(zone, now);
    unansweredSince.remove(zone);
  }

  /** Returns whether the probes of a zone have been unanswered for the timeout. */
  private boolean isUnreachable(Locality zone, Instant now) {
    Instant since = unansweredSince.get(zone);
    return since != null && !since.plus(UNREACHABLE_TIMEOUT).isAfter(now);
  }

  /** Returns whether a member of a region has sent a message directly since an instant. */
  boolean hasContactWithRegion(String region, Instant since) {
    return lastContactAt.entrySet().stream()
        .anyMatch(
            entry -> entry.getKey().region().equals(region) && entry.getValue().isAfter(since));
  }

  /** Returns the members to probe in this interval. */
  List<Member> selectNext(Instant now) {
    List<Member> selected = new ArrayList<>();
    nextZoneMember().ifPresent(selected::add);
    if (delegates.isDelegate()) {
      nextZone(Distance.SAME_REGION).ifPresent(zone -> addProbes(zone, now, selected));
    }
    if (delegates.isHead()) {
      nextZone(Distance.OTHER_REGION)
          .flatMap(this::pickMember)
          .ifPresent(
              member -> {
                unansweredSince.putIfAbsent(member.locality(), now);
                selected.add(member);
              });
    }
    zoneIndex++;
    return selected;
  }

  private void addProbes(Locality zone, Instant now, List<Member> selected) {
    int count = isUnreachable(zone, now) ? UNREACHABLE_ZONE_PROBES : 1;
    unansweredSince.putIfAbsent(zone, now);
    for (int i = 0; i < count; i++) {
      pickMember(zone).ifPresent(selected::add);
    }
  }

  private Optional<Locality> nextZone(Distance distance) {
    List<Locality> zones = delegates.zonesAtDistance(distance);
    return zones.isEmpty() ? Optional.empty() : Optional.of(zones.get(zoneIndex % zones.size()));
  }

  private Optional<Member> pickMember(Locality zone) {
    List<Member> candidates = random.nextBoolean() ? delegates.of(zone) : roster.live(zone);
    return pickRandom(candidates);
  }

  private Optional<Member> pickRandom(List<Member> candidates) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  private Optional<Member> nextZoneMember() {
    if (probeRound.isEmpty()) {
      roster.live(self.locality()).stream()
          .map(Member::instance)
          .filter(instance -> !instance.equals(self.instance()))
          .forEach(probeRound::add);
      shuffle(probeRound);
    }
    while (!probeRound.isEmpty()) {
      Optional<Member> member =
          roster.entry(probeRound.remove(probeRound.size() - 1)).map(Roster.Entry::member);
      if (member.isPresent() && member.get().status() != Member.Status.DEAD) {
        return member;
      }
    }
    return Optional.empty();
  }

  private void shuffle(List<String> names) {
    for (int i = names.size() - 1; i > 0; i--) {
      Collections.swap(names, i, random.nextInt(i + 1));
    }
  }
}
