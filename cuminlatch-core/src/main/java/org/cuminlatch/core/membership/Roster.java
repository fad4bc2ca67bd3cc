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

/** All instances known, dead ones included while they are remembered, and the rules of merging. */
final class Roster {

  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<Locality, Zone> zones = new LinkedHashMap<>();
  private final List<Entry> suspects = new ArrayList<>();
  private long revision;

  static final class Entry {
    private Member member;
    private Instant changedAt;
    private Instant heardAt = Instant.EPOCH;

    private Entry(Member member, Instant changedAt) {
      this.member = member;
      this.changedAt = changedAt;
    }

    Member member() {
      return member;
    }

    Instant heardAt() {
      return heardAt;
    }

    long fingerprint() {
      return Roster.fingerprint(member);
    }

    boolean isDead() {
      return member.status() == Status.DEAD;
    }
  }

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

  /** Returns a number that grows with each change of what the view shows. */
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

  /** Takes an update and returns whether it was news. */
  boolean merge(Update update, Instant now) {
    if (update instanceof Update.Announcement announcement) {
      return announce(announcement.member(), now);
    }
    Update.Verdict verdict = (Update.Verdict) update;
    return judge(verdict.instance(), verdict.incarnation(), verdict.status(), now);
  }

  private boolean announce(Member member, Instant now) {
    Entry entry = entries.get(member.instance());
    if (entry == null) {
      insert(member, now);
      return true;
    }
    if (!supersedes(member.incarnation(), member.status(), entry.member)) {
      return false;
    }
    boolean sameIncarnation = member.incarnation() == entry.member.incarnation();
    boolean ahead = entry.member.configVersion() > member.configVersion();
    replace(
        entry,
        sameIncarnation && ahead
            ? Members.withConfiguration(
                member, entry.member.configVersion(), entry.member.stateHash())
            : member,
        now);
    return true;
  }

  private boolean judge(String instance, long incarnation, Status status, Instant now) {
    Entry entry = entries.get(instance);
    boolean refutation = status == Status.ALIVE;
    if (entry == null || refutation || !supersedes(incarnation, status, entry.member)) {
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

  /** Notes that an instance was heard from directly. */
  void heard(Sender sender, Instant now) {
    Entry entry = entries.get(sender.instance());
    if (entry == null) {
      return;
    }
    entry.heardAt = now;
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

  List<Member> suspectsSince(Instant limit) {
    suspects.removeIf(entry -> entry.member.status() != Status.SUSPECT);
    return suspects.stream()
        .filter(entry -> !entry.changedAt.isAfter(limit))
        .map(Entry::member)
        .toList();
  }

  void forgetDead(Instant now, Duration retention) {
    Instant limit = now.minus(retention);
    entries.values().removeIf(entry -> entry.isDead() && entry.changedAt.isBefore(limit));
  }

  private void insert(Member member, Instant now) {
    Entry entry = new Entry(member, now);
    entries.put(member.instance(), entry);
    addToZone(member);
    noteSuspect(entry);
    revision++;
  }

  private void replace(Entry entry, Member next, Instant now) {
    removeFromZone(entry.member);
    entry.member = next;
    entry.changedAt = now;
    addToZone(next);
    noteSuspect(entry);
    revision++;
  }

  private void noteSuspect(Entry entry) {
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
