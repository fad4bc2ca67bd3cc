package org.cuminlatch.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.hash.StableHash;
import org.cuminlatch.core.membership.Member.Status;
import org.cuminlatch.core.membership.MembershipMessage.Sender;

/**
 * Table of all known instances and the rules by which updates are merged into it. Dead instances
 * stay until their retention ends.
 */
final class Roster {

  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<Locality, Zone> zones = new LinkedHashMap<>();
  private final List<Entry> suspects = new ArrayList<>();
  private long revision;

  /** An instance and the times of its last change and contact. */
  static final class Entry {
    private Member member;
    private Instant changedAt;
    private Instant lastContactAt = Instant.EPOCH;

    private Entry(Member member, Instant changedAt) {
      this.member = member;
      this.changedAt = changedAt;
    }

    Member member() {
      return member;
    }

    Instant lastContactAt() {
      return lastContactAt;
    }

    long fingerprint() {
      return Roster.fingerprint(member);
    }

    boolean isDead() {
      return member.status() == Status.DEAD;
    }
  }

  /** Live members of a zone and a digest over their fingerprints. */
  static final class Zone {
    private final List<Member> live = new ArrayList<>();
    private long digest;

    List<Member> live() {
      return live;
    }

    long digest() {
      return digest;
    }
  }

  /** Returns a number that increases with each change of a member. */
  long revision() {
    return revision;
  }

  Optional<Entry> entry(String instance) {
    return Optional.ofNullable(entries.get(instance));
  }

  Collection<Entry> entries() {
    return entries.values();
  }

  Map<Locality, Zone> zones() {
    return zones;
  }

  /** Returns the members of a zone that are not dead. */
  List<Member> live(Locality locality) {
    Zone zone = zones.get(locality);
    return zone == null ? List.of() : zone.live();
  }

  long digest() {
    long digest = 0;
    for (Zone zone : zones.values()) {
      digest ^= zone.digest();
    }
    return digest;
  }

  Map<String, Member> liveMembers() {
    Map<String, Member> live = new LinkedHashMap<>();
    for (Zone zone : zones.values()) {
      zone.live().forEach(member -> live.put(member.instance(), member));
    }
    return live;
  }

  /** Merges an update and returns whether it changed the roster. */
  boolean merge(Update update, Instant now) {
    if (update instanceof Update.Announcement announcement) {
      return mergeAnnouncement(announcement.member(), now);
    }
    Update.Verdict verdict = (Update.Verdict) update;
    return mergeVerdict(verdict.instance(), verdict.incarnation(), verdict.status(), now);
  }

  private boolean mergeAnnouncement(Member member, Instant now) {
    Entry entry = entries.get(member.instance());
    if (entry == null) {
      insert(member, now);
      return true;
    }
    if (!supersedes(member.incarnation(), member.status(), entry.member)) {
      return false;
    }
    boolean sameIncarnation = member.incarnation() == entry.member.incarnation();
    boolean knownConfigIsNewer = entry.member.configVersion() > member.configVersion();
    replace(
        entry,
        sameIncarnation && knownConfigIsNewer
            ? Members.withConfiguration(
                member, entry.member.configVersion(), entry.member.stateHash())
            : member,
        now);
    return true;
  }

  private boolean mergeVerdict(String instance, long incarnation, Status status, Instant now) {
    Entry entry = entries.get(instance);
    boolean isRefutation = status == Status.ALIVE;
    if (entry == null || isRefutation || !supersedes(incarnation, status, entry.member)) {
      return false;
    }
    replace(entry, Members.withStatus(entry.member, incarnation, status), now);
    return true;
  }

  private static boolean supersedes(long incarnation, Status status, Member known) {
    if (incarnation != known.incarnation()) {
      return incarnation > known.incarnation();
    }
    return status.compareTo(known.status()) > 0;
  }

  /** Records a message received directly from an instance and adopts its configuration version. */
  void recordContact(Sender sender, Instant now) {
    Entry entry = entries.get(sender.instance());
    if (entry == null) {
      return;
    }
    entry.lastContactAt = now;
    if (!entry.isDead() && sender.configVersion() > entry.member.configVersion()) {
      setConfiguration(entry, sender.configVersion(), sender.stateHash());
    }
  }

  void setConfiguration(Entry entry, long configVersion, String stateHash) {
    Member next = Members.withConfiguration(entry.member, configVersion, stateHash);
    Zone zone = zone(next.locality());
    zone.live.replaceAll(member -> member == entry.member ? next : member);
    entry.member = next;
    revision++;
  }

  List<Member> suspects() {
    suspects.removeIf(entry -> entry.member.status() != Status.SUSPECT);
    return suspects.stream().map(Entry::member).toList();
  }

  /** Returns the members that have been suspect since an instant or longer. */
  List<Member> suspectsSince(Instant limit) {
    suspects.removeIf(entry -> entry.member.status() != Status.SUSPECT);
    return suspects.stream()
        .filter(entry -> !entry.changedAt.isAfter(limit))
        .map(Entry::member)
        .toList();
  }

  /** Removes instances that have been dead for longer than the retention. */
  void removeExpiredDead(Instant now, Duration retention) {
    Instant limit = now.minus(retention);
    entries.values().removeIf(entry -> entry.isDead() && entry.changedAt.isBefore(limit));
  }

  private void insert(Member member, Instant now) {
    Entry entry = new Entry(member, now);
    entries.put(member.instance(), entry);
    addToZone(member);
    trackSuspect(entry);
    revision++;
  }

  private void replace(Entry entry, Member next, Instant now) {
    removeFromZone(entry.member);
    entry.member = next;
    entry.changedAt = now;
    addToZone(next);
    trackSuspect(entry);
    revision++;
  }

  private void trackSuspect(Entry entry) {
    if (entry.member.status() == Status.SUSPECT && !suspects.contains(entry)) {
      suspects.add(entry);
    }
  }

  private void addToZone(Member member) {
    if (member.status() != Status.DEAD) {
      Zone zone = zone(member.locality());
      zone.live.add(member);
      zone.digest ^= fingerprint(member);
    }
  }

  private void removeFromZone(Member member) {
    Zone zone = zone(member.locality());
    if (member.status() != Status.DEAD && zone.live.removeIf(live -> live == member)) {
      zone.digest ^= fingerprint(member);
    }
  }

  private Zone zone(Locality locality) {
    return zones.computeIfAbsent(locality, unused -> new Zone());
  }

  static long fingerprint(Member member) {
    return fingerprint(member.instance(), member.incarnation());
  }

  static long fingerprint(String instance, long incarnation) {
    return StableHash.of(instance, Long.toString(incarnation));
  }
}
