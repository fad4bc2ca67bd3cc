package org.cuminlatch.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.control.Outbox;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.Member.Status;
import org.cuminlatch.core.membership.MembershipMessage.Gossip;

/**
 * Passes updates on: to random zone mates, by delegates to other zones, by the head of a zone to
 * the other region; on probes where they go anyway, and in messages of their own while there is
 * news. A byte budget bounds both.
 */
final class GossipSpread {

  private static final Duration INTERVAL = Duration.ofMillis(200);
  private static final int FAN_OUT = 2;
  private static final int EXTRA_TRANSMISSIONS = 3;
  private static final int TRANSMISSIONS_PER_ZONE = 3;
  private static final int TRANSMISSIONS_TO_REGION = 3;
  private static final int FLUSH_ROUNDS = 3;
  private static final int INTRODUCED = 4;
  private static final int BURST_BYTES = 8 * 1024;
  private static final int BYTES_PER_SECOND = 1_000;

  private final Roster roster;
  private final Delegates delegates;
  private final Member self;
  private final Outbox outbox;
  private final RandomGenerator random;
  private final MembershipSettings settings;
  private final Map<Distance, GossipQueue> queues = new EnumMap<>(Distance.class);
  private final ByteBudget budget = ByteBudget.of(BYTES_PER_SECOND, BURST_BYTES);
  private Instant nextAt = Instant.EPOCH;

  GossipSpread(
      Roster roster,
      Delegates delegates,
      Member self,
      Outbox outbox,
      RandomGenerator random,
      MembershipSettings settings) {
    this.roster = roster;
    this.delegates = delegates;
    this.self = self;
    this.outbox = outbox;
    this.random = random;
    this.settings = settings;
    for (Distance distance : Distance.values()) {
      queues.put(distance, new GossipQueue());
    }
  }

  void add(Update update, Instant now) {
    queues.get(Distance.SAME_ZONE).add(update, now);
    if (delegates.isDelegate() || update.instance().equals(self.instance())) {
      queues.get(Distance.SAME_REGION).add(update, now);
    }
    if (delegates.isHead()) {
      queues.get(Distance.OTHER_REGION).add(update, now);
    }
  }

  void onTick(Instant now) {
    if (nextAt.isAfter(now)) {
      return;
    }
    nextAt = now.plus(INTERVAL);
    for (int i = 0; i < FAN_OUT; i++) {
      pick(roster.live(self.locality())).ifPresent(mate -> send(mate, now));
    }
    toOtherZone(Distance.SAME_REGION, now);
    if (delegates.isHead()) {
      toOtherZone(Distance.OTHER_REGION, now);
    }
  }

  private void toOtherZone(Distance distance, Instant now) {
    if (queues.get(distance).isEmpty()) {
      return;
    }
    List<Locality> zones = delegates.zonesAt(distance);
    if (!zones.isEmpty()) {
      Locality zone = zones.get(random.nextInt(zones.size()));
      pick(delegates.of(zone)).ifPresent(delegate -> send(delegate, now));
    }
  }

  /** Sends what there is to several peers at once, without waiting for the next interval. */
  void flush(Instant now) {
    for (int i = 0; i < FLUSH_ROUNDS; i++) {
      nextAt = now;
      onTick(now);
    }
  }

  private void send(Member to, Instant now) {
    List<Update> updates = take(self.locality().distanceTo(to.locality()), now);
    if (!updates.isEmpty()) {
      outbox.send(to.controlAddress(), new Gossip(updates));
    }
  }

  /** Returns updates that travel on a probe or its answer. */
  List<Update> piggyback(String peer, Instant now) {
    Distance distance =
        roster
            .entry(peer)
            .map(entry -> self.locality().distanceTo(entry.member().locality()))
            .orElse(Distance.SAME_ZONE);
    return take(distance, now);
  }

  private List<Update> take(Distance distance, Instant now) {
    GossipQueue queue = queues.get(distance);
    if (queue.isEmpty()) {
      return List.of();
    }
    int limit = Math.min(settings.maxUpdateBytes(), budget.available(now));
    List<Update> updates = queue.take(limit, transmissions(distance), now);
    budget.tryTake(updates.stream().mapToInt(Update::estimatedBytes).sum(), now);
    return updates;
  }

  private int transmissions(Distance distance) {
    return switch (distance) {
      case SAME_ZONE -> log2(roster.live(self.locality()).size()) + EXTRA_TRANSMISSIONS;
      case SAME_REGION -> TRANSMISSIONS_PER_ZONE * delegates.zonesAt(distance).size();
      case OTHER_REGION -> TRANSMISSIONS_TO_REGION;
    };
  }

  private static int log2(int count) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, count));
  }

  /** Returns some zone mates of a newcomer, so that it need not ask its seed for all. */
  List<Update> introduction(List<Update> introduced) {
    return introduced.stream()
        .filter(Update.Announcement.class::isInstance)
        .map(update -> ((Update.Announcement) update).member())
        .findFirst()
        .map(newcomer -> sample(newcomer.locality()))
        .orElse(List.of());
  }

  private List<Update> sample(Locality zone) {
    List<Member> live = roster.live(zone);
    return random
        .ints(INTRODUCED, 0, Math.max(1, live.size()))
        .distinct()
        .filter(index -> index < live.size())
        .mapToObj(index -> (Update) new Update.Announcement(live.get(index)))
        .toList();
  }

  Optional<Member> randomDead() {
    List<Member> dead =
        roster.entries().stream()
            .map(Roster.Entry::member)
            .filter(member -> member.status() == Status.DEAD && member.phase() != Phase.LEFT)
            .toList();
    return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
  }

  private Optional<Member> pick(List<Member> candidates) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Member member = candidates.get(random.nextInt(candidates.size()));
    return member.instance().equals(self.instance()) ? Optional.empty() : Optional.of(member);
  }
}
