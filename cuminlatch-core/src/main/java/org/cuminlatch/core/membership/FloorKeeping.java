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
 * Remembers the highest configuration version that instances announced, also across their deaths,
 * and asks the keepers of the own one after a start.
 *
 * <p>The keepers of an instance are chosen by rendezvous hashing: some in its zone, and some in
 * other zones of the region, so that the loss of a zone doesn't lose its floors.
 */
final class FloorKeeping {

  private static final String ROLE = "keeper/";
  private static final int KEEPERS_IN_ZONE = 2;
  private static final int KEEPERS_ELSEWHERE = 2;
  private static final Duration ASK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration ASK_FOR = Duration.ofSeconds(30);

  private final Roster roster;
  private final Outbox outbox;
  private final String self;
  private final Map<String, Long> remembered = new HashMap<>();
  private final Map<String, FloorAnswer> answers = new HashMap<>();
  private Instant nextAt = Instant.EPOCH;

  FloorKeeping(Roster roster, Outbox outbox, String self) {
    this.roster = roster;
    this.outbox = outbox;
    this.self = self;
  }

  void remember(Member member) {
    remember(member.instance(), member.configVersion());
  }

  void remember(String instance, long configVersion) {
    if (configVersion > 0) {
      remembered.merge(instance, configVersion, Math::max);
    }
  }

  long rememberedOf(String instance) {
    return remembered.getOrDefault(instance, 0L);
  }

  void housekeep() {
    Set<String> known = new HashSet<>();
    roster.entries().forEach(entry -> known.add(entry.member().instance()));
    remembered.keySet().retainAll(known);
  }

  void answered(FloorAnswer answer) {
    answers.put(answer.instance(), answer);
  }

  Collection<FloorAnswer> answers() {
    return answers.values();
  }

  void announce(Member own) {
    VersionNote note = new VersionNote(own.instance(), own.configVersion());
    keepers(own).forEach(keeper -> outbox.send(keeper.controlAddress(), note));
  }

  /** Asks the keepers that have not answered yet, for a while after the start. */
  void onTick(Instant startedAt, Instant now) {
    if (nextAt.isAfter(now) || startedAt.plus(ASK_FOR).isBefore(now)) {
      return;
    }
    nextAt = now.plus(ASK_INTERVAL);
    roster.entry(self).map(Roster.Entry::member).map(this::keepers).orElse(List.of()).stream()
        .filter(keeper -> !answers.containsKey(keeper.instance()))
        .forEach(keeper -> outbox.send(keeper.controlAddress(), new FloorQuery(self)));
  }

  private List<Member> keepers(Member own) {
    Locality home = own.locality();
    List<Member> elsewhere = new ArrayList<>();
    for (Locality zone : roster.zones().keySet()) {
      if (!zone.equals(home) && zone.region().equals(home.region())) {
        elsewhere.addAll(top(own, zone, 1));
      }
    }
    List<Member> keepers = new ArrayList<>(top(own, home, KEEPERS_IN_ZONE));
    Rendezvous.rank(ROLE + own.instance(), elsewhere).stream()
        .limit(KEEPERS_ELSEWHERE)
        .forEach(keepers::add);
    return keepers;
  }

  private List<Member> top(Member own, Locality zone, int count) {
    List<Member> others =
        roster.live(zone).stream()
            .filter(member -> !member.instance().equals(own.instance()))
            .toList();
    return Rendezvous.rank(ROLE + own.instance(), others).stream().limit(count).toList();
  }
}
