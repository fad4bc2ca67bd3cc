package org.cuminlatch.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.membership.MembershipMessage.Sender;

/**
 * Outstanding probes: direct first, then through other instances, then failed.
 *
 * <p>Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol" (2002); the slowing of an instance that is itself unwell follows Dadgar,
 * Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2018).
 */
final class FailureDetector {

  private static final int MAX_UNHEALTH = 6;

  /** Sends what the detector decides. */
  interface Pings {

    void ping(Member target, long sequence);

    void askToPing(Member helper, Member target, long sequence);

    void relay(Address requester, long sequence, Sender answered);
  }

  private record Probe(Member target, Instant sentAt, boolean indirect) {}

  private record Relay(Address requester, long sequence, String target, Instant sentAt) {}

  private final MembershipSettings settings;
  private final Roster roster;
  private final Pings pings;
  private final RandomGenerator random;
  private final Map<Long, Probe> probes = new HashMap<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private long sequence;
  private int unhealth;

  FailureDetector(MembershipSettings settings, Roster roster, Pings pings, RandomGenerator random) {
    this.settings = settings;
    this.roster = roster;
    this.pings = pings;
    this.random = random;
  }

  void probe(Member target, Instant now) {
    probes.put(++sequence, new Probe(target, now, false));
    pings.ping(target, sequence);
  }

  long nextSequence() {
    return ++sequence;
  }

  void relayPing(Address requester, long requested, Member target, Instant now) {
    relays.put(++sequence, new Relay(requester, requested, target.instance(), now));
    pings.ping(target, sequence);
  }

  /** Takes an answer and returns whether it ended a probe of this instance. */
  boolean onAck(long answered, Sender sender) {
    String instance = sender.instance();
    Relay relay = relays.get(answered);
    if (relay != null && relay.target().equals(instance)) {
      relays.remove(answered);
      pings.relay(relay.requester(), relay.sequence(), sender);
      return false;
    }
    Probe probe = probes.get(answered);
    if (probe == null || !probe.target().instance().equals(instance)) {
      return false;
    }
    probes.remove(answered);
    unhealth = Math.max(0, unhealth - 1);
    return true;
  }

  /** Moves probes on and returns the members whose probes have failed. */
  List<Member> onTick(Instant now) {
    List<Member> failed = new ArrayList<>();
    Map<Long, Probe> escalated = new HashMap<>();
    Iterator<Map.Entry<Long, Probe>> iterator = probes.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Long, Probe> entry = iterator.next();
      Probe probe = entry.getValue();
      if (!probe.sentAt().plus(scaled(settings.probeInterval())).isAfter(now)) {
        iterator.remove();
        unhealth = Math.min(MAX_UNHEALTH, unhealth + 1);
        failed.add(probe.target());
      } else if (!probe.indirect()
          && !probe.sentAt().plus(scaled(settings.ackTimeout())).isAfter(now)) {
        escalated.put(entry.getKey(), new Probe(probe.target(), probe.sentAt(), true));
      }
    }
    escalated.forEach(this::probeIndirectly);
    Instant relayLimit = now.minus(settings.probeInterval().multipliedBy(2));
    relays.values().removeIf(relay -> relay.sentAt().isBefore(relayLimit));
    return failed;
  }

  /** Drops all probes, as after a pause of the own process. */
  void forget() {
    probes.clear();
    relays.clear();
  }

  int unhealth() {
    return unhealth;
  }

  private Duration scaled(Duration duration) {
    return duration.multipliedBy(1 + unhealth).dividedBy(1 + unhealth / 2);
  }

  private void probeIndirectly(Long number, Probe probe) {
    probes.put(number, probe);
    pings.ping(probe.target(), number);
    List<Member> near = roster.live(probe.target().locality());
    for (int i = 0; i < settings.indirectProbes(); i++) {
      helper(near, probe.target())
          .ifPresent(helper -> pings.askToPing(helper, probe.target(), number));
    }
  }

  private Optional<Member> helper(List<Member> candidates, Member target) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Member helper = candidates.get(random.nextInt(candidates.size()));
    return helper.instance().equals(target.instance()) ? Optional.empty() : Optional.of(helper);
  }
}
