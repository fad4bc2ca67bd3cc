package org.cuminlatch.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.control.Outbox;
import org.cuminlatch.core.membership.MembershipMessage.Digest;
import org.cuminlatch.core.membership.MembershipMessage.Sender;
import org.cuminlatch.core.membership.MembershipMessage.Summary;
import org.cuminlatch.core.membership.MembershipMessage.Sync;
import org.cuminlatch.core.membership.MembershipMessage.ZoneDigest;

/**
 * Synchronizes rosters by anti-entropy: two instances whose rosters differ compare digests by zone,
 * then fingerprints of the members of the zones that differ, then exchange the facts that one of
 * them lacks.
 */
final class RosterSynchronizer {

  private static final int MAX_BURST_BYTES = 64 * 1024;

  /** Time that gossip has to settle a difference before a synchronization starts. */
  private static final Duration SETTLING_GRACE = Duration.ofSeconds(6);

  private final Roster roster;
  private final Outbox outbox;
  private final Duration interval;
  private final ByteBudget budget;
  private Instant nextSyncAt = Instant.EPOCH;
  private Instant differsSince;

  RosterSynchronizer(Roster roster, Outbox outbox, MembershipSettings settings) {
    this.roster = roster;
    this.outbox = outbox;
    this.interval = settings.syncInterval();
    this.budget = ByteBudget.of(settings.syncBytesPerSecond(), MAX_BURST_BYTES);
  }

  /**
   * Compares the roster digest of a peer with the local one and starts a synchronization if they
   * differ and the difference is urgent or persists.
   */
  void onSenderState(Address peer, Sender state, Sender self, boolean urgent, Instant now) {
    if (state.rosterDigest() == self.rosterDigest()) {
      differsSince = null;
      return;
    }
    if (differsSince == null) {
      differsSince = now;
    }
    boolean persists = !differsSince.plus(SETTLING_GRACE).isAfter(now);
    if ((urgent || persists) && !nextSyncAt.isAfter(now)) {
      nextSyncAt = now.plus(interval);
      outbox.send(peer, new Digest(self, digests()));
    }
  }

  private List<ZoneDigest> digests() {
    List<ZoneDigest> digests = new ArrayList<>();
    roster.zones().forEach((zone, state) -> digests.add(new ZoneDigest(zone, state.digest())));
    return digests;
  }

  /** Answers digests with fingerprints of the zones that differ. */
  void onDigest(Address from, Digest digest, Sender self, Instant now) {
    List<Locality> zones = differingZones(digest.zones());
    List<Long> fingerprints = new ArrayList<>();
    zones.forEach(zone -> roster.live(zone).forEach(m -> fingerprints.add(Roster.fingerprint(m))));
    if (!zones.isEmpty() && budget.tryAcquire(fingerprints.size() * Long.BYTES, now)) {
      outbox.send(from, new Summary(self, zones, fingerprints));
    }
  }

  private List<Locality> differingZones(List<ZoneDigest> peerDigests) {
    Map<Locality, Long> digests = new HashMap<>();
    peerDigests.forEach(zone -> digests.put(zone.locality(), zone.digest()));
    Set<Locality> zones = new HashSet<>(digests.keySet());
    zones.addAll(roster.zones().keySet());
    return zones.stream()
        .filter(zone -> digests.getOrDefault(zone, 0L) != digestOf(zone))
        .sorted((a, b) -> a.toString().compareTo(b.toString()))
        .toList();
  }

  private long digestOf(Locality zone) {
    Roster.Zone known = roster.zones().get(zone);
    return known == null ? 0 : known.digest();
  }

  /** Answers fingerprints with the facts that the peer lacks and a request for missing ones. */
  void onSummary(Address from, Summary summary, Sender self, Instant now) {
    Set<Long> missingHere = new HashSet<>(summary.fingerprints());
    Set<Locality> covered = Set.copyOf(summary.zones());
    List<Update> missingAtPeer = new ArrayList<>();
    for (Roster.Entry entry : roster.entries()) {
      if (covered.contains(entry.member().locality())) {
        boolean listed = missingHere.remove(entry.fingerprint());
        if (listed == entry.isDead()) {
          missingAtPeer.add(update(entry.member()));
        }
      }
    }
    List<Update> updates = takeWithinBudget(missingAtPeer, now);
    if (!updates.isEmpty() || !missingHere.isEmpty()) {
      outbox.send(from, new Sync(self, updates, List.copyOf(missingHere)));
    }
  }

  /** Sends the facts that a peer has requested by fingerprint. */
  void onWanted(Address from, List<Long> wanted, Sender self, Instant now) {
    if (wanted.isEmpty()) {
      return;
    }
    Set<Long> requested = Set.copyOf(wanted);
    List<Update> found =
        roster.entries().stream()
            .filter(entry -> requested.contains(entry.fingerprint()))
            .map(entry -> update(entry.member()))
            .toList();
    sendFacts(from, found, self, now);
  }

  /** Sends a peer the current facts in place of the outdated ones that it has sent. */
  void sendCorrections(Address from, List<Update> outdated, Sender self, Instant now) {
    List<Update> current =
        outdated.stream()
            .map(update -> roster.entry(update.instance()))
            .flatMap(Optional::stream)
            .map(entry -> update(entry.member()))
            .toList();
    sendFacts(from, current, self, now);
  }

  private void sendFacts(Address to, List<Update> facts, Sender self, Instant now) {
    List<Update> updates = takeWithinBudget(facts, now);
    if (!updates.isEmpty()) {
      outbox.send(to, new Sync(self, updates, List.of()));
    }
  }

  private static Update update(Member member) {
    return member.status() == Member.Status.DEAD
        ? new Update.Verdict(member.instance(), member.incarnation(), member.status())
        : new Update.Announcement(member);
  }

  private List<Update> takeWithinBudget(List<Update> updates, Instant now) {
    int availableBytes = budget.availableBytes(now);
    int size = 0;
    List<Update> taken = new ArrayList<>();
    for (Update update : updates) {
      if (size + update.estimatedBytes() > availableBytes) {
        break;
      }
      size += update.estimatedBytes();
      taken.add(update);
    }
    budget.tryAcquire(size, now);
    return taken;
  }
}
