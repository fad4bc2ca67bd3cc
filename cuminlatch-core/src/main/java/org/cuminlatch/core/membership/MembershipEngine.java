package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.control.ControlEngine;
import org.cuminlatch.core.control.Outbox;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.Member.Status;
import org.cuminlatch.core.membership.MembershipListener.Change;
import org.cuminlatch.core.membership.MembershipMessage.Ack;
import org.cuminlatch.core.membership.MembershipMessage.Digest;
import org.cuminlatch.core.membership.MembershipMessage.FloorAnswer;
import org.cuminlatch.core.membership.MembershipMessage.FloorQuery;
import org.cuminlatch.core.membership.MembershipMessage.Gossip;
import org.cuminlatch.core.membership.MembershipMessage.Ping;
import org.cuminlatch.core.membership.MembershipMessage.PingRequest;
import org.cuminlatch.core.membership.MembershipMessage.Sender;
import org.cuminlatch.core.membership.MembershipMessage.Summary;
import org.cuminlatch.core.membership.MembershipMessage.Sync;
import org.cuminlatch.core.membership.MembershipMessage.VersionNote;

/**
 * Membership protocol of the mesh: SWIM gossip and failure detection, aware of zones and regions.
 *
 * <p>Must be ticked at least every 100 ms. {@link #members()} and {@link #member(String)} may be
 * called by any thread, all other methods only by the control thread.
 */
public final class MembershipEngine implements ControlEngine<MembershipMessage>, MembershipView {

  /** Time between two ticks above which this process is considered to have been paused. */
  private static final Duration MAX_TICK_INTERVAL = Duration.ofSeconds(2);

  /** Time after the start in which differing rosters are synchronized without delay. */
  private static final Duration JOIN_WINDOW = Duration.ofSeconds(30);

  private static final Duration HOUSEKEEPING_INTERVAL = Duration.ofSeconds(10);
  private static final int MAX_SUSPECT_PROBES = 3;

  /** Number of members above which missing messages mean that this instance is isolated. */
  private static final int ISOLATION_MEMBER_THRESHOLD = 8;

  private final MembershipSettings settings;
  private final Outbox outbox;
  private final Roster roster = new Roster();
  private final ZoneDelegates delegates;
  private final ProbeSelector probeSelector;
  private final FailureDetector detector;
  private final RosterSynchronizer synchronizer;
  private final GossipDisseminator gossip;
  private final SeedScheduler seeds;
  private final FloorKeeper floors;
  private final MembershipListener listener;
  private final Set<String> locallySuspected = new HashSet<>();
  private Member self;
  private Instant startedAt;
  private Instant lastTickAt;
  private Instant lastMessageAt = Instant.EPOCH;
  private Instant nextProbeAt = Instant.EPOCH;
  private Instant nextHousekeepingAt = Instant.EPOCH;
  private long publishedRevision = -1;
  private volatile Map<String, Member> view;

  private MembershipEngine(
      Member self,
      List<Address> seedAddresses,
      Outbox outbox,
      RandomGenerator random,
      MembershipSettings settings,
      MembershipListener listener) {
    this.settings = settings;
    this.outbox = outbox;
    this.listener = listener;
    this.self = Members.withConfiguration(self, self.configVersion(), self.stateHash());
    this.delegates = new ZoneDelegates(roster, self, settings.delegates());
    this.probeSelector = new ProbeSelector(roster, delegates, self, random);
    this.detector = new FailureDetector(settings, roster, new OutboxPingSender(), random);
    this.synchronizer = new RosterSynchronizer(roster, outbox, settings);
    this.gossip = new GossipDisseminator(roster, delegates, self, outbox, random, settings);
    this.seeds = new SeedScheduler(seedAddresses, self.controlAddress(), random, settings);
    this.floors = new FloorKeeper(roster, outbox, self.instance());
    this.view = Map.of(self.instance(), this.self);
  }

  /**
   * Creates the engine of an instance whose roster contains no other member yet.
   *
   * @param self facts of the instance; its incarnation must be higher than before its last restart
   * @param seeds control addresses used to join the mesh; may include its own
   * @param outbox sends the messages
   * @param random source of random numbers
   * @param settings settings
   * @param listener notified of changes
   * @return the engine
   */
  public static MembershipEngine create(
      Member self,
      List<Address> seeds,
      Outbox outbox,
      RandomGenerator random,
      MembershipSettings settings,
      MembershipListener listener) {
    MembershipEngine engine =
        new MembershipEngine(
            notNull(self, "self"),
            List.copyOf(notNull(seeds, "seeds")),
            notNull(outbox, "outbox"),
            notNull(random, "random"),
            notNull(settings, "settings"),
            notNull(listener, "listener"));
    engine.roster.merge(new Update.Announcement(engine.self), Instant.EPOCH);
    return engine;
  }

  @Override
  public Collection<Member> members() {
    return view.values();
  }

  @Override
  public Optional<Member> member(String instance) {
    return Optional.ofNullable(view.get(instance));
  }

  /**
   * Returns the facts of this instance.
   *
   * @return this instance as a member
   */
  public Member self() {
    return self;
  }

  /**
   * Returns the floor: the highest configuration version that the keepers remember of this instance
   * or have in force themselves.
   *
   * @return the version; empty until a keeper has answered
   */
  public OptionalLong floor() {
    return floors.answers().stream()
        .mapToLong(answer -> Math.max(answer.rememberedVersion(), answer.ownVersion()))
        .max();
  }

  /**
   * Returns the answers of the keepers of this instance.
   *
   * @return one answer for each keeper that has answered
   */
  public Collection<FloorAnswer> floorAnswers() {
    return floors.answers();
  }

  /**
   * Adds a seed address, such as one found on the log.
   *
   * @param address control address of an instance
   */
  public void addSeed(Address address) {
    seeds.add(address);
  }

  /**
   * Sets the phase of the local target and gossips it.
   *
   * @param phase the phase
   * @param now the time
   */
  public void updatePhase(Phase phase, Instant now) {
    if (phase != self.phase()) {
      announce(Members.withPhase(self, phase), now);
    }
  }

  /**
   * Sets the target version and the slots of the local target and gossips them.
   *
   * @param targetVersion target version of the target
   * @param slots number of requests that it processes concurrently
   * @param now the time
   */
  public void updateTarget(String targetVersion, int slots, Instant now) {
    if (!targetVersion.equals(self.targetVersion()) || slots != self.slots()) {
      announce(Members.withTarget(self, targetVersion, slots), now);
    }
  }

  /**
   * Sets the configuration version in force; it is piggybacked on probes and sent to the keepers. A
   * version that is not higher than the current one is ignored.
   *
   * @param configVersion the version
   * @param stateHash hash of the state
   */
  public void updateConfiguration(long configVersion, String stateHash) {
    if (configVersion <= self.configVersion()) {
      return;
    }
    self = Members.withConfiguration(self, configVersion, stateHash);
    roster
        .entry(self.instance())
        .ifPresent(entry -> roster.setConfiguration(entry, configVersion, self.stateHash()));
    floors.notifyKeepers(self);
  }

  /**
   * Leaves the mesh permanently: notifies some peers at once, which gossip it to the others.
   *
   * @param now the time
   */
  public void leave(Instant now) {
    Member left = Members.withPhase(self, Phase.LEFT);
    announce(Members.withStatus(left, left.incarnation(), Status.DEAD), now);
    gossip.flush(now);
  }

  @Override
  public void onTick(Instant now) {
    if (startedAt == null) {
      startedAt = now;
      seeds.start(now);
    }
    if (lastTickAt != null && lastTickAt.plus(MAX_TICK_INTERVAL).isBefore(now)) {
      detector.reset();
      lastMessageAt = now;
    }
    lastTickAt = now;
    delegates.refresh(now);
    if (self.phase() != Phase.LEFT) {
      probe(now);
      seeds.nextDue(roster, now).ifPresent(this::pingSeed);
      floors.onTick(startedAt, now);
    }
    gossip.onTick(now);
    if (!nextHousekeepingAt.isAfter(now)) {
      nextHousekeepingAt = now.plus(HOUSEKEEPING_INTERVAL);
      housekeep(now);
    }
    publish(now);
  }

  /** Returns whether the roster still contains an instance, possibly as dead. */
  boolean retains(String instance) {
    return roster.entry(instance).isPresent();
  }

  private void probe(Instant now) {
    for (Member failed : detector.onTick(now)) {
      suspect(failed, now);
    }
    for (Member expired : roster.suspectsSince(now.minus(settings.suspicionTimeout()))) {
      if (isRegionReachable(expired, now)) {
        applyUpdate(verdict(expired, Status.DEAD), now);
      }
    }
    if (!nextProbeAt.isAfter(now)) {
      nextProbeAt = now.plus(settings.probeInterval());
      probeSelector.selectNext(now).forEach(target -> detector.probe(target, now));
      roster.suspects().stream()
          .filter(this::isLocallySuspected)
          .limit(MAX_SUSPECT_PROBES)
          .forEach(suspect -> detector.probe(suspect, now));
    }
  }

  private void suspect(Member failed, Instant now) {
    boolean maySuspect = !isIsolated(now) && isRegionReachable(failed, now);
    if (maySuspect) {
      locallySuspected.add(failed.instance());
      applyUpdate(verdict(failed, Status.SUSPECT), now);
    }
  }

  private boolean isLocallySuspected(Member suspect) {
    return locallySuspected.contains(suspect.instance());
  }

  /**
   * Returns whether the region of a member is reachable, so that a member that does not answer is
   * likely to be dead itself.
   */
  private boolean isRegionReachable(Member member, Instant now) {
    String region = member.locality().region();
    Instant since = now.minus(settings.probeInterval());
    return region.equals(self.locality().region())
        || probeSelector.hasContactWithRegion(region, since);
  }

  private boolean isIsolated(Instant now) {
    boolean noMessages = lastMessageAt.plus(settings.probeInterval().multipliedBy(2)).isBefore(now);
    return noMessages && view.size() > ISOLATION_MEMBER_THRESHOLD;
  }

  private void housekeep(Instant now) {
    roster.removeExpiredDead(now, settings.deadRetention());
    floors.removeUnknownInstances();
    locallySuspected.retainAll(roster.suspects().stream().map(Member::instance).toList());
    if (delegates.isDelegate()) {
      gossip.randomDeadMember().ifPresent(dead -> sendPing(dead, detector.nextSequence()));
    }
  }

  private void pingSeed(Address seed) {
    List<Update> introduction = List.of(new Update.Announcement(self));
    outbox.send(seed, new Ping(detector.nextSequence(), sender(), "", introduction));
  }

  private void announce(Member next, Instant now) {
    self = Members.withStatus(next, self.incarnation() + 1, next.status());
    Update update = new Update.Announcement(self);
    roster.merge(update, now);
    gossip.add(update, now);
    publish(now);
  }

  private static Update verdict(Member member, Status status) {
    return new Update.Verdict(member.instance(), member.incarnation(), status);
  }

  /** Merges an update and gossips it if it is new; refutes a false update about this instance. */
  private boolean applyUpdate(Update update, Instant now) {
    if (update.instance().equals(self.instance())) {
      refute(update, now);
      return true;
    }
    final Optional<Member> before = roster.entry(update.instance()).map(Roster.Entry::member);
    if (!roster.merge(update, now)) {
      return false;
    }
    gossip.add(update, now);
    Member after = roster.entry(update.instance()).orElseThrow().member();
    floors.remember(after);
    listener.onChange(after, change(before, after));
    return true;
  }

  private static Change change(Optional<Member> before, Member after) {
    if (after.phase() == Phase.LEFT) {
      return Change.LEFT;
    }
    if (after.status() != Status.ALIVE) {
      return after.status() == Status.DEAD ? Change.DIED : Change.SUSPECTED;
    }
    boolean known = before.isPresent() && before.get().status() != Status.DEAD;
    return known ? Change.UPDATED : Change.JOINED;
  }

  private void refute(Update update, Instant now) {
    boolean alive =
        update instanceof Update.Announcement announcement
            && announcement.member().status() == Status.ALIVE;
    boolean stale = update.incarnation() < self.incarnation();
    boolean repeated = alive && update.incarnation() == self.incarnation();
    if (stale || repeated || self.phase() == Phase.LEFT) {
      return;
    }
    self = Members.withStatus(self, update.incarnation(), Status.ALIVE);
    announce(self, now);
  }

  @Override
  public void onMessage(Address from, MembershipMessage message, Instant now) {
    lastMessageAt = now;
    if (message instanceof Ping ping) {
      onPing(from, ping, now);
    } else if (message instanceof Ack ack) {
      onAck(from, ack, now);
    } else if (message instanceof PingRequest request) {
      onPingRequest(from, request, now);
    } else if (message instanceof Gossip gossipMessage) {
      gossipMessage.updates().forEach(update -> applyUpdate(update, now));
    } else if (message instanceof Digest digest) {
      onSenderState(from, digest.sender(), now);
      synchronizer.onDigest(from, digest, sender(), now);
    } else if (message instanceof Summary summary) {
      synchronizer.onSummary(from, summary, sender(), now);
    } else if (message instanceof Sync sync) {
      onSync(from, sync, now);
    } else if (message instanceof VersionNote note) {
      floors.remember(note.instance(), note.configVersion());
    } else if (message instanceof FloorQuery query) {
      long remembered = floors.rememberedVersionOf(query.instance());
      outbox.send(from, new FloorAnswer(self.instance(), remembered, self.configVersion()));
    } else if (message instanceof FloorAnswer answer) {
      floors.onAnswer(answer);
    }
  }

  private void onPing(Address from, Ping ping, Instant now) {
    ping.updates().forEach(update -> applyUpdate(update, now));
    boolean misdirected = !ping.target().isEmpty() && !ping.target().equals(self.instance());
    if (misdirected || self.phase() == Phase.LEFT) {
      return;
    }
    List<Update> updates = new ArrayList<>(suspicionsAbout(ping.sender()));
    updates.addAll(gossip.piggyback(ping.sender().instance(), now));
    if (ping.target().isEmpty()) {
      updates.addAll(gossip.introductionFor(ping.updates()));
    }
    outbox.send(from, new Ack(ping.sequence(), sender(), updates));
    onSenderState(from, ping.sender(), now);
  }

  private void onAck(Address from, Ack ack, Instant now) {
    ack.updates().forEach(update -> applyUpdate(update, now));
    detector.onAck(ack.sequence(), ack.sender());
    onSenderState(from, ack.sender(), now);
  }

  private void onPingRequest(Address from, PingRequest request, Instant now) {
    roster
        .entry(request.target())
        .ifPresent(entry -> detector.relayPing(from, request.sequence(), entry.member(), now));
  }

  private void onSync(Address from, Sync sync, Instant now) {
    List<Update> outdated =
        sync.updates().stream().filter(update -> !applyUpdate(update, now)).toList();
    List<Update> superseded = outdated.stream().filter(this::isSuperseded).toList();
    synchronizer.sendCorrections(from, superseded, sender(), now);
    synchronizer.onWanted(from, sync.wanted(), sender(), now);
  }

  private boolean isSuperseded(Update update) {
    return roster
        .entry(update.instance())
        .filter(entry -> entry.member().incarnation() > update.incarnation() || entry.isDead())
        .isPresent();
  }

  private List<Update> suspicionsAbout(Sender sender) {
    return roster
        .entry(sender.instance())
        .map(Roster.Entry::member)
        .filter(member -> member.status() != Status.ALIVE)
        .filter(member -> member.incarnation() >= sender.incarnation())
        .map(member -> List.of(verdict(member, member.status())))
        .orElse(List.of());
  }

  private void onSenderState(Address from, Sender sender, Instant now) {
    Optional<Roster.Entry> entry = roster.entry(sender.instance());
    boolean unknown = entry.isEmpty() || entry.get().member().incarnation() < sender.incarnation();
    if (unknown) {
      long wanted = Roster.fingerprint(sender.instance(), sender.incarnation());
      outbox.send(from, new Sync(sender(), List.of(), List.of(wanted)));
      return;
    }
    roster.recordContact(sender, now);
    floors.remember(sender.instance(), sender.configVersion());
    probeSelector.recordContact(entry.get().member().locality(), now);
    boolean joinedRecently = startedAt == null || startedAt.plus(JOIN_WINDOW).isAfter(now);
    synchronizer.onSenderState(from, sender, sender(), joinedRecently, now);
  }

  private Sender sender() {
    return new Sender(
        self.instance(),
        self.incarnation(),
        self.configVersion(),
        self.stateHash(),
        roster.digest());
  }

  private void sendPing(Member target, long sequence) {
    List<Update> updates = new ArrayList<>();
    if (target.status() != Status.ALIVE) {
      updates.add(verdict(target, target.status()));
    }
    updates.addAll(gossip.piggyback(target.instance(), lastTickAt));
    Ping ping = new Ping(sequence, sender(), target.instance(), updates);
    outbox.send(target.controlAddress(), ping);
  }

  private void publish(Instant now) {
    if (publishedRevision == roster.revision()) {
      return;
    }
    publishedRevision = roster.revision();
    view = Collections.unmodifiableMap(roster.liveMembers());
  }

  private final class OutboxPingSender implements FailureDetector.PingSender {

    @Override
    public void ping(Member target, long sequence) {
      Member known = roster.entry(target.instance()).map(Roster.Entry::member).orElse(target);
      sendPing(known, sequence);
    }

    @Override
    public void requestPing(Member helper, Member target, long sequence) {
      PingRequest request =
          new PingRequest(sequence, sender(), target.instance(), target.controlAddress());
      outbox.send(helper.controlAddress(), request);
    }

    @Override
    public void relayAck(Address requester, long sequence, Sender responder) {
      outbox.send(requester, new Ack(sequence, responder, List.of()));
    }
  }
}
