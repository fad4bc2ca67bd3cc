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
 * Chooses whom to probe: each zone mate once in a random round, and, as a delegate, members of
 * other zones.
 *
 * <p>Source of the random round: Das, Gupta, Motivala, "SWIM" (2002), section 4.3.
 */
final class ProbeTargets {

  /** Time without an answer from another zone after which it counts as dark. */
  private static final Duration DARK_AFTER = Duration.ofSeconds(4);

  private static final int DARK_PROBES = 4;

  private final Roster roster;
  private final Delegates delegates;
  private final Member self;
  private final RandomGenerator random;
  private final List<String> round = new ArrayList<>();
  private final Map<Locality, Instant> heardFrom = new HashMap<>();
  private final Map<Locality, Instant> triedSince = new HashMap<>();
  private int turn;

  ProbeTargets(Roster roster, Delegates delegates, Member self, RandomGenerator random) {
    this.roster = roster;
    this.delegates = delegates;
    this.self = self;
    this.random = random;
  }

  void heard(Locality zone, Instant now) {
    heardFrom.put(zone, now);
    triedSince.remove(zone);
  }

  /** Returns whether probes of a zone have gone unanswered for a while. */
  private boolean isDark(Locality zone, Instant now) {
    Instant since = triedSince.get(zone);
    return since != null && !since.plus(DARK_AFTER).isAfter(now);
  }

  /** Returns whether some member of a region was heard from directly since an instant. */
  boolean heardFromRegion(String region, Instant since) {
    return heardFrom.entrySet().stream()
        .anyMatch(
            entry -> entry.getKey().region().equals(region) && entry.getValue().isAfter(since));
  }

  List<Member> next(Instant now) {
    List<Member> targets = new ArrayList<>();
    nextZoneMate().ifPresent(targets::add);
    if (delegates.isDelegate()) {
      pickZone(Distance.SAME_REGION).ifPresent(zone -> addProbes(zone, now, targets));
    }
    if (delegates.isHead()) {
      pickZone(Distance.OTHER_REGION)
          .flatMap(this::pickIn)
          .ifPresent(
              member -> {
                triedSince.putIfAbsent(member.locality(), now);
                targets.add(member);
              });
    }
    turn++;
    return targets;
  }

  private void addProbes(Locality zone, Instant now, List<Member> targets) {
    int count = isDark(zone, now) ? DARK_PROBES : 1;
    triedSince.putIfAbsent(zone, now);
    for (int i = 0; i < count; i++) {
      pickIn(zone).ifPresent(targets::add);
    }
  }

  private Optional<Locality> pickZone(Distance distance) {
    List<Locality> zones = delegates.zonesAt(distance);
    return zones.isEmpty() ? Optional.empty() : Optional.of(zones.get(turn % zones.size()));
  }

  private Optional<Member> pickIn(Locality zone) {
    List<Member> candidates = random.nextBoolean() ? delegates.of(zone) : roster.live(zone);
    return pick(candidates);
  }

  private Optional<Member> pick(List<Member> candidates) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  private Optional<Member> nextZoneMate() {
    if (round.isEmpty()) {
      roster.live(self.locality()).stream()
          .map(Member::instance)
          .filter(instance -> !instance.equals(self.instance()))
          .forEach(round::add);
      shuffle(round);
    }
    while (!round.isEmpty()) {
      Optional<Member> member =
          roster.entry(round.remove(round.size() - 1)).map(Roster.Entry::member);
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
