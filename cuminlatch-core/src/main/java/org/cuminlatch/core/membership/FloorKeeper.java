package org.cuminlatch.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminlatch.core.control.Outbox;
import org.cuminlatch.core.membership.MembershipMessage.FloorAnswer;
import org.cuminlatch.core.membership.MembershipMessage.FloorQuery;
import org.cuminlatch.core.membership.MembershipMessage.VersionNote;

/**
 * Keeps the floors of instances: the highest configuration version that each has announced, kept
 * while the instance is dead too. After a start it queries the keepers of this instance for its own
 * floor.
 *
 * <p>The keepers of an instance are selected by rendezvous hashing: some in its zone, and some in
 * other zones of the region, so that the floors survive the loss of a zone.
 */
final class FloorKeeper {

  private static final String ROLE_PREFIX = "keeper/";
  private static final int KEEPERS_IN_ZONE = 2;
  private static final int KEEPERS_IN_OTHER_ZONES = 2;
  private static final Duration QUERY_INTERVAL = Duration.ofSeconds(1);
  private static final Duration QUERY_WINDOW = Duration.ofSeconds(30);

  private final Roster roster;
  private final Outbox outbox;
  private final String self;
  private final Map<String, Long> highestVersions = new HashMap<>();
  private final Map<String, FloorAnswer> answers = new HashMap<>();
  private Instant nextQueryAt = Instant.EPOCH;

  FloorKeeper(Roster roster, Outbox outbox, String self) {
    this.roster = roster;
    this.outbox = outbox;
    this.self = self;
  }

  void remember(Member member) {
    remember(member.instance(), member.configVersion());
  }

  void remember(String instance, long configVersion) {
    if (configVersion > 0) {
      highestVersions.merge(instance, configVersion, Math::max);
    }
  }

  /** Returns the highest version that an instance has announced, 0 if none is known. */
  long rememberedVersionOf(String instance) {
    return highestVersions.getOrDefault(instance, 0L);
  }

  /** Removes the versions of instances that are no longer on the roster. */
  void removeUnknownInstances() {
    Set<String> rosterInstances = new HashSet<>();
    roster.entries().forEach(entry -> rosterInstances.add(entry.member().instance()));
    highestVersions.keySet().retainAll(rosterInstances);
  }

  void onAnswer(FloorAnswer answer) {
    answers.put(answer.instance(), answer);
  }

  Collection<FloorAnswer> answers() {
    return answers.values();
  }

  /** Sends the configuration version of this instance to its keepers. */
  void notifyKeepers(Member localMember) {
    VersionNote note = new VersionNote(localMember.instance(), localMember.configVersion());
    keepers(localMember).forEach(keeper -> outbox.send(keeper.controlAddress(), note));
  }

  /** Queries the keepers that have not answered yet, for a limited time after the start. */
  void onTick(Instant startedAt, Instant now) {
    if (nextQueryAt.isAfter(now) || startedAt.plus(QUERY_WINDOW).isBefore(now)) {
      return;
    }
    nextQueryAt = now.plus(QUERY_INTERVAL);
    roster.entry(self).map(Roster.Entry::member).map(this::keepers).orElse(List.of()).stream()
        .filter(keeper -> !answers.containsKey(keeper.instance()))
        .forEach(keeper -> outbox.send(keeper.controlAddress(), new FloorQuery(self)));
  }

  private List<Member> keepers(Member localMember) {
    Locality localZone = localMember.locality();
    List<Member> otherZoneCandidates = new ArrayList<>();
    for (Locality zone : roster.zones().keySet()) {
      if (!zone.equals(localZone) && zone.region().equals(localZone.region())) {
        otherZoneCandidates.addAll(highestRanked(localMember, zone, 1));
      }
    }
    List<Member> keepers = new ArrayList<>(highestRanked(localMember, localZone, KEEPERS_IN_ZONE));
    Rendezvous.rank(ROLE_PREFIX + localMember.instance(), otherZoneCandidates).stream()
        .limit(KEEPERS_IN_OTHER_ZONES)
        .forEach(keepers::add);
    return keepers;
  }

  private List<Member> highestRanked(Member localMember, Locality zone, int count) {
    List<Member> others =
        roster.live(zone).stream()
            .filter(member -> !member.instance().equals(localMember.instance()))
            .toList();
    return Rendezvous.rank(ROLE_PREFIX + localMember.instance(), others).stream()
        .limit(count)
        .toList();
  }
}
