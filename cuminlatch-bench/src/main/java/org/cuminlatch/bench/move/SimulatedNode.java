package org.cuminlatch.bench.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.control.Outbox;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipView;
import org.cuminlatch.core.move.EvidenceMessage;
import org.cuminlatch.core.move.MoveDecision;
import org.cuminlatch.core.move.MoveEngine;
import org.cuminlatch.core.move.MoveSettings;
import org.cuminlatch.core.move.OutcomeSink;

/** A node of the simulated mesh: its move engine, clock and membership view. */
final class SimulatedNode implements MembershipView {

  private Member member;
  private final Duration clockError;
  private final Outbox outbox;
  private final OutcomeSink sink;
  private final MoveSettings settings;
  private final List<MoveDecision> decisions = new ArrayList<>();
  private Snapshot snapshot = Snapshot.empty();
  private List<Member> members = List.of();
  private Map<String, Member> membersByName = Map.of();
  private MoveEngine engine;
  private Instant pausedUntil = Instant.MIN;
  private boolean down;

  SimulatedNode(
      Member member, Duration clockError, Outbox outbox, OutcomeSink sink, MoveSettings settings) {
    this.member = member;
    this.clockError = clockError;
    this.outbox = outbox;
    this.sink = sink;
    this.settings = settings;
    start();
  }

  static Member servingMember(
      String instance,
      int port,
      ServiceProfile.Zone zone,
      String service,
      String version,
      int slots) {
    Address address = new Address("127.0.0.1", port);
    return new Member(
        instance,
        0,
        Member.Status.ALIVE,
        address,
        address,
        new Locality(zone.region(), zone.zone()),
        service,
        version,
        slots,
        Member.Phase.SERVING,
        Set.of(1),
        0,
        "");
  }

  /** Starts the node's process without any state from an earlier run. */
  void start() {
    down = false;
    engine =
        MoveEngine.create(
            member.instance(),
            member.locality(),
            () -> snapshot,
            this,
            outbox,
            sink,
            decisions::add,
            settings);
  }

  void stop() {
    down = true;
  }

  void pauseUntil(Instant until) {
    pausedUntil = until;
  }

  void updateState(Snapshot newSnapshot, List<Member> newMembers) {
    snapshot = newSnapshot.version() > snapshot.version() ? newSnapshot : snapshot;
    if (newMembers != members) {
      members = newMembers;
      membersByName = new java.util.HashMap<>();
      newMembers.forEach(newMember -> membersByName.put(newMember.instance(), newMember));
    }
  }

  void announce(Member newMember) {
    member = newMember;
  }

  boolean isDown() {
    return down;
  }

  boolean isRunning(Instant now) {
    return !down && !now.isBefore(pausedUntil);
  }

  void tick(Instant now) {
    engine.onTick(now.plus(clockError));
  }

  void receive(Address from, ControlMessage message, Instant now) {
    engine.onMessage(from, (EvidenceMessage) message, now.plus(clockError));
  }

  MoveEngine engine() {
    return engine;
  }

  Snapshot snapshot() {
    return snapshot;
  }

  List<MoveDecision> decisions() {
    return decisions;
  }

  @Override
  public Collection<Member> members() {
    return members;
  }

  Member member() {
    return member;
  }

  @Override
  public Optional<Member> member(String instance) {
    return Optional.ofNullable(membersByName.get(instance));
  }
}
