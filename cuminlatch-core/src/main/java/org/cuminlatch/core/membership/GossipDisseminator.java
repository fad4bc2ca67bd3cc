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
 * Disseminates updates by gossip: every member to random members of its zone, delegates also to
 * other zones, and the head of a zone also to the other region.
 *
 * <p>Updates are piggybacked on probes and acknowledgements, and are sent in gossip messages while
 * any are queued. One byte budget limits both.
 */
final class GossipDisseminator {

  private static final Duration GOSSIP_INTERVAL = Duration.ofMillis(200);
  private static final int FAN_OUT = 2;
  private static final int EXTRA_TRANSMISSIONS = 3;
  private static final int TRANSMISSIONS_PER_ZONE = 3;
  private static final int TRANSMISSIONS_TO_OTHER_REGION = 3;
  private static final int FLUSH_ROUNDS = 3;
  private static final int MAX_INTRODUCED_MEMBERS = 4;
  private static final int BURST_BYTES = 8 * 1024;
  private static final int BYTES_PER_SECOND = 1_000;

  private final Roster roster;
  private final ZoneDelegates delegates;
  private final Member self;
  private final Outbox outbox;
  private final RandomGenerator random;
  private final MembershipSettings settings;
  private final Map<Distance, GossipQueue> queues = new EnumMap<>(Distance.class);
  private final ByteBudget budget = ByteBudget.of(BYTES_PER_SECOND, BURST_BYTES);
  private Instant nextGossipAt = Instant.EPOCH;

  GossipDisseminator(
      Roster roster,
      ZoneDelegates delegates,
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

  /** Queues an update for the distances that this instance gossips over. */
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
    if (nextGossipAt.isAfter(now)) {
      return;
    }
    nextGossipAt = now.plus(GOSSIP_INTERVAL);
    for (int i = 0; i < FAN_OUT; i++) {
      randomPeer(roster.live(self.locality())).ifPresent(zoneMember -> send(zoneMember, now));
    }
    gossipToOtherZone(Distance.SAME_REGION, now);
    if (delegates.isHead()) {
      gossipToOtherZone(Distance.OTHER_REGION, now);
    }
  }

  private void gossipToOtherZone(Distance distance, Instant now) {
    if (queues.get(distance).isEmpty()) {
      return;
    }
    List<Locality> zones = delegates.zonesAtDistance(distance);
    if (!zones.isEmpty()) {
      Locality zone = zones.get(random.nextInt(zones.size()));
      randomPeer(delegates.of(zone)).ifPresent(delegate -> send(delegate, now));
    }
  }

  /** Sends queued updates to several peers at once, without waiting for the next interval. */
  void flush(Instant now) {
    for (int i = 0; i < FLUSH_ROUNDS; i++) {
      nextGossipAt = now;
      onTick(now);
    }
  }

  private void send(Member to, Instant now) {
    List<Update> updates = takeUpdates(self.locality().distanceTo(to.locality()), now);
    if (!updates.isEmpty()) {
      outbox.send(to.controlAddress(), new Gossip(updates));
    }
  }

  /** Returns updates to piggyback on a probe or its acknowledgement. */
  List<Update> piggyback(String peer, Instant now) {
    Distance distance =
        roster
            .entry(peer)
            .map(entry -> self.locality().distanceTo(entry.member().locality()))
            .orElse(Distance.SAME_ZONE);
    return takeUpdates(distance, now);
  }

  private List<Update> takeUpdates(Distance distance, Instant now) {
    GossipQueue queue = queues.get(distance);
    if (queue.isEmpty()) {
      return List.of();
    }
    int maxBytes = Math.min(settings.maxUpdateBytes(), budget.availableBytes(now));
    List<Update> updates = queue.take(maxBytes, maxTransmissions(distance), now);
    budget.tryAcquire(updates.stream().mapToInt(Update::estimatedBytes).sum(), now);
    return updates;
  }

  private int maxTransmissions(Distance distance) {
    return switch (distance) {
      case SAME_ZONE -> log2(roster.live(self.locality()).size()) + EXTRA_TRANSMISSIONS;
      case SAME_REGION -> TRANSMISSIONS_PER_ZONE * delegates.zonesAtDistance(distance).size();
      case OTHER_REGION -> TRANSMISSIONS_TO_OTHER_REGION;
    };
  }

  private static int log2(int count) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, count));
  }

  /** Returns some zone members for a joining member, so that it need not ask its seed for all. */
  List<Update> introductionFor(List<Update> announced) {
    return announced.stream()
        .filter(Update.Announcement.class::isInstance)
        .map(update -> ((Update.Announcement) update).member())
        .findFirst()
        .map(newcomer -> randomMembers(newcomer.locality()))
        .orElse(List.of());
  }

  private List<Update> randomMembers(Locality zone) {
    List<Member> live = roster.live(zone);
    return random
        .ints(MAX_INTRODUCED_MEMBERS, 0, Math.max(1, live.size()))
        .distinct()
        .filter(index -> index < live.size())
        .mapToObj(index -> (Update) new Update.Announcement(live.get(index)))
        .toList();
  }

  /** Returns a random dead member that has not left. */
  Optional<Member> randomDeadMember() {
    List<Member> dead =
        roster.entries().stream()
            .map(Roster.Entry::member)
            .filter(member -> member.status() == Status.DEAD && member.phase() != Phase.LEFT)
            .toList();
    return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
  }

  private Optional<Member> randomPeer(List<Member> candidates) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Member member = candidates.get(random.nextInt(candidates.size()));
    return member.instance().equals(self.instance()) ? Optional.empty() : Optional.of(member);
  }
}
