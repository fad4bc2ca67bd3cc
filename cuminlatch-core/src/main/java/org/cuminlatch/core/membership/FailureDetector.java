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
 * SWIM failure detector: probes a member directly, then through other members, and reports the
 * probe as failed if neither is acknowledged in time.
 *
 * <p>Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol" (2002). Timeouts grow with the local health score, which rises with each
 * failed probe, as in Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More
 * Accurate Failure Detection" (2018).
 */
final class FailureDetector {

  private static final int MAX_LOCAL_HEALTH_SCORE = 6;

  /** Sends the messages of the detector. */
  interface PingSender {

    /** Pings a member directly. */
    void ping(Member target, long sequence);

    /** Asks a helper to ping a member. */
    void requestPing(Member helper, Member target, long sequence);

    /** Relays the acknowledgement of a pinged member to the instance that asked for the ping. */
    void relayAck(Address requester, long sequence, Sender responder);
  }

  private record Probe(Member target, Instant sentAt, boolean indirect) {}

  private record Relay(Address requester, long sequence, String target, Instant sentAt) {}

  private final MembershipSettings settings;
  private final Roster roster;
  private final PingSender pingSender;
  private final RandomGenerator random;
  private final Map<Long, Probe> probes = new HashMap<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private long sequence;
  private int localHealthScore;

  FailureDetector(
      MembershipSettings settings, Roster roster, PingSender pingSender, RandomGenerator random) {
    this.settings = settings;
    this.roster = roster;
    this.pingSender = pingSender;
    this.random = random;
  }

  /** Starts a direct probe. */
  void probe(Member target, Instant now) {
    probes.put(++sequence, new Probe(target, now, false));
    pingSender.ping(target, sequence);
  }

  /** Returns a sequence number for a ping that is not tracked as a probe. */
  long nextSequence() {
    return ++sequence;
  }

  /** Pings a member on behalf of another instance. */
  void relayPing(Address requester, long requestedSequence, Member target, Instant now) {
    relays.put(++sequence, new Relay(requester, requestedSequence, target.instance(), now));
    pingSender.ping(target, sequence);
  }

  /** Handles an acknowledgement and returns whether it completed a probe of this instance. */
  boolean onAck(long ackedSequence, Sender sender) {
    String instance = sender.instance();
    Relay relay = relays.get(ackedSequence);
    if (relay != null && relay.target().equals(instance)) {
      relays.remove(ackedSequence);
      pingSender.relayAck(relay.requester(), relay.sequence(), sender);
      return false;
    }
    Probe probe = probes.get(ackedSequence);
    if (probe == null || !probe.target().instance().equals(instance)) {
      return false;
    }
    probes.remove(ackedSequence);
    localHealthScore = Math.max(0, localHealthScore - 1);
    return true;
  }

  /** Sends due indirect probes and returns the members whose probes have failed. */
  List<Member> onTick(Instant now) {
    List<Member> failed = new ArrayList<>();
    Map<Long, Probe> toProbeIndirectly = new HashMap<>();
    Iterator<Map.Entry<Long, Probe>> iterator = probes.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Long, Probe> entry = iterator.next();
      Probe probe = entry.getValue();
      if (!probe.sentAt().plus(scaledByHealth(settings.probeInterval())).isAfter(now)) {
        iterator.remove();
        localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + 1);
        failed.add(probe.target());
      } else if (!probe.indirect()
          && !probe.sentAt().plus(scaledByHealth(settings.ackTimeout())).isAfter(now)) {
        toProbeIndirectly.put(entry.getKey(), new Probe(probe.target(), probe.sentAt(), true));
      }
    }
    toProbeIndirectly.forEach(this::probeIndirectly);
    Instant oldestRelay = now.minus(settings.probeInterval().multipliedBy(2));
    relays.values().removeIf(relay -> relay.sentAt().isBefore(oldestRelay));
    return failed;
  }

  /** Drops all probes; after a pause of this process their timeouts have no meaning. */
  void reset() {
    probes.clear();
    relays.clear();
  }

  /** Returns the local health score: 0 is healthy, higher values lengthen the timeouts. */
  int localHealthScore() {
    return localHealthScore;
  }

  private Duration scaledByHealth(Duration duration) {
    return duration.multipliedBy(1 + localHealthScore).dividedBy(1 + localHealthScore / 2);
  }

  private void probeIndirectly(Long probeSequence, Probe probe) {
    probes.put(probeSequence, probe);
    pingSender.ping(probe.target(), probeSequence);
    List<Member> zoneMembers = roster.live(probe.target().locality());
    for (int i = 0; i < settings.indirectProbes(); i++) {
      randomHelper(zoneMembers, probe.target())
          .ifPresent(helper -> pingSender.requestPing(helper, probe.target(), probeSequence));
    }
  }

  private Optional<Member> randomHelper(List<Member> candidates, Member target) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Member helper = candidates.get(random.nextInt(candidates.size()));
    return helper.instance().equals(target.instance()) ? Optional.empty() : Optional.of(helper);
  }
}
