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
 * Membership of the mesh by gossip, aware of zones and regions.
 *
 * <p>Wants a tick at least every 100 ms. {@link #members()} and {@link #member(String)} may be
 * called by any thread; everything else belongs to the control thread.
 */
public final class MembershipEngine implements ControlEngine<MembershipMessage>, MembershipView {

  private static final Duration PAUSE = Duration.ofSeconds(2);
  private static final Duration NEW_FOR = Duration.ofSeconds(30);
  private static final Duration HOUSEKEEPING = Duration.ofSeconds(10);
  private static final int MAX_REPEATED_PROBES = 3;
  private static final int ISOLATION_MIN_MEMBERS = 8;

  private final MembershipSettings settings;
  private final Outbox outbox;
  private final Roster roster = new Roster();
  private final Delegates delegates;
  private final ProbeTargets targets;
  private final FailureDetector detector;
  private final RosterComparison comparison;
  private final GossipSpread gossip;
  private final SeedContacts seeds;
  private final FloorKeeping floors;
  private final MembershipListener listener;
  private final Set<String> blamed = new HashSet<>();
  private Member self;
  private Instant startedAt;
  private Instant lastTick;
  private Instant heardAt = Instant.EPOCH;
  private Instant nextProbe = Instant.EPOCH;
  private Instant nextHousekeeping = Instant.EPOCH;
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
    this.delegates = new Delegates(roster, self, settings.delegates());
    this.targets = new ProbeTargets(roster, delegates, self, random);
    this.detector = new FailureDetector(settings, roster, new DetectorPings(), random);
    this.comparison = new RosterComparison(roster, outbox, settings);
    this.gossip = new GossipSpread(roster, delegates, self, outbox, random, settings);
    this.seeds = new SeedContacts(seedAddresses, self.controlAddress(), random, settings);
    this.floors = new FloorKeeping(roster, outbox, self.instance());
    this.view = Map.of(self.instance(), this.self);
  }

  /**
   * Creates the engine of an instance that knows no one but its seeds.
   *
   * @param self facts of the instance; its incarnation must be higher than that of its last life
   * @param seeds control addresses to join by, possibly its own too
   * @param outbox takes the messages
   * @param random source of random numbers
   * @param settings settings
   * @param listener hears of changes
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
   * Returns the own facts.
   *
   * @return the own member
   */
  public Member self() {
    return self;
  }

  /**
   * Returns the floor: the highest configuration version that keepers remember of this instance or
   * have in force themselves.
   *
   * @return the version; empty until a keeper has answered
   */
  public OptionalLong floor() {
    return floors.answers().stream()
        .mapToLong(answer -> Math.max(answer.rememberedVersion(), answer.ownVersion()))
        .max();
  }

  /**
   * Returns what the keepers of this instance remember of it and have in force themselves.
   *
   * @return one answer for each keeper that has answered
   */
  public Collection<FloorAnswer> floorAnswers() {
    return floors.answers();
  }

  /**
   * Adds an address to join by, as found on the log.
   *
   * @param address control address of an instance
   */
  public void addSeed(Address address) {
    seeds.add(address);
  }

  /**
   * Sets what the target is ready for and spreads it.
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
   * Sets the target version and slots and spreads them.
   *
   * @param targetVersion target version of the target
   * @param slots requests that it takes at a time
   * @param now the time
   */
  public void updateTarget(String targetVersion, int slots, Instant now) {
    if (!targetVersion.equals(self.targetVersion()) || slots != self.slots()) {
      announce(Members.withTarget(self, targetVersion, slots), now);
    }
  }

  /**
   * Sets the configuration version in force; it travels on probes and is told to the keepers.
   *
   * @param configVersion the version, not lower than before
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
    floors.announce(self);
  }

  /**
   * Leaves the mesh for good: tells some peers at once, they tell the others.
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
    if (lastTick != null && lastTick.plus(PAUSE).isBefore(now)) {
      detector.forget();
      heardAt = now;
    }
    lastTick = now;
    delegates.refresh(now);
    if (self.phase() != Phase.LEFT) {
      probe(now);
      seeds.due(roster, now).ifPresent(this::pingSeed);
      floors.onTick(startedAt, now);
    }
    gossip.onTick(now);
    if (!nextHousekeeping.isAfter(now)) {
      nextHousekeeping = now.plus(HOUSEKEEPING);
      housekeep(now);
    }
    publish(now);
  }

  /** Returns whether an instance is remembered, be it as dead. */
  boolean remembers(String instance) {
    return roster.entry(instance).isPresent();
  }

  private void probe(Instant now) {
    for (Member failed : detector.onTick(now)) {
      suspect(failed, now);
    }
    for (Member expired : roster.suspectsSince(now.minus(settings.suspicionTimeout()))) {
      if (hearsRegionOf(expired, now)) {
        learn(verdict(expired, Status.DEAD), now);
      }
    }
    if (!nextProbe.isAfter(now)) {
      nextProbe = now.plus(settings.probeInterval());
      targets.next(now).forEach(target -> detector.probe(target, now));
      roster.suspects().stream()
          .filter(this::isBlamedHere)
          .limit(MAX_REPEATED_PROBES)
          .forEach(suspect -> detector.probe(suspect, now));
    }
  }

  private void suspect(Member failed, Instant now) {
    boolean mayBlame = !isIsolated(now) && hearsRegionOf(failed, now);
    if (mayBlame) {
      blamed.add(failed.instance());
      learn(verdict(failed, Status.SUSPECT), now);
    }
  }

  private boolean isBlamedHere(Member suspect) {
    return blamed.contains(suspect.instance());
  }

  /** Returns whether a silent member is likely to be dead itself, its region being within reach. */
  private boolean hearsRegionOf(Member member, Instant now) {
    String region = member.locality().region();
    Instant since = now.minus(settings.probeInterval());
    return region.equals(self.locality().region()) || targets.heardFromRegion(region, since);
  }

  private boolean isIsolated(Instant now) {
    boolean silent = heardAt.plus(settings.probeInterval().multipliedBy(2)).isBefore(now);
    return silent && view.size() > ISOLATION_MIN_MEMBERS;
  }

  private void housekeep(Instant now) {
    roster.forgetDead(now, settings.deadRetention());
    floors.housekeep();
    blamed.retainAll(roster.suspects().stream().map(Member::instance).toList());
    if (delegates.isDelegate()) {
      gossip.randomDead().ifPresent(dead -> sendPing(dead, detector.nextSequence()));
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

  /** Merges an update, passes it on if it is news, and refutes what is said about this instance. */
  private boolean learn(Update update, Instant now) {
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
    boolean echo = alive && update.incarnation() == self.incarnation();
    if (stale || echo || self.phase() == Phase.LEFT) {
      return;
    }
    self = Members.withStatus(self, update.incarnation(), Status.ALIVE);
    announce(self, now);
  }

  @Override
  public void onMessage(Address from, MembershipMessage message, Instant now) {
    heardAt = now;
    if (message instanceof Ping ping) {
      onPing(from, ping, now);
    } else if (message instanceof Ack ack) {
      onAck(from, ack, now);
    } else if (message instanceof PingRequest request) {
      onPingRequest(from, request, now);
    } else if (message instanceof Gossip news) {
      news.updates().forEach(update -> learn(update, now));
    } else if (message instanceof Digest digest) {
      meet(from, digest.sender(), now);
      comparison.onDigest(from, digest, sender(), now);
    } else if (message instanceof Summary summary) {
      comparison.onSummary(from, summary, sender(), now);
    } else if (message instanceof Sync sync) {
      onSync(from, sync, now);
    } else if (message instanceof VersionNote note) {
      floors.remember(note.instance(), note.configVersion());
    } else if (message instanceof FloorQuery query) {
      long remembered = floors.rememberedOf(query.instance());
      outbox.send(from, new FloorAnswer(self.instance(), remembered, self.configVersion()));
    } else if (message instanceof FloorAnswer answer) {
      floors.answered(answer);
    }
  }

  private void onPing(Address from, Ping ping, Instant now) {
    ping.updates().forEach(update -> learn(update, now));
    boolean misdirected = !ping.target().isEmpty() && !ping.target().equals(self.instance());
    if (misdirected || self.phase() == Phase.LEFT) {
      return;
    }
    List<Update> updates = new ArrayList<>(doubts(ping.sender()));
    updates.addAll(gossip.piggyback(ping.sender().instance(), now));
    if (ping.target().isEmpty()) {
      updates.addAll(gossip.introduction(ping.updates()));
    }
    outbox.send(from, new Ack(ping.sequence(), sender(), updates));
    meet(from, ping.sender(), now);
  }

  private void onAck(Address from, Ack ack, Instant now) {
    ack.updates().forEach(update -> learn(update, now));
    detector.onAck(ack.sequence(), ack.sender());
    meet(from, ack.sender(), now);
  }

  private void onPingRequest(Address from, PingRequest request, Instant now) {
    roster
        .entry(request.target())
        .ifPresent(entry -> detector.relayPing(from, request.sequence(), entry.member(), now));
  }

  private void onSync(Address from, Sync sync, Instant now) {
    List<Update> outdated = sync.updates().stream().filter(update -> !learn(update, now)).toList();
    List<Update> superseded = outdated.stream().filter(this::isSuperseded).toList();
    comparison.correct(from, superseded, sender(), now);
    comparison.onWanted(from, sync.wanted(), sender(), now);
  }

  private boolean isSuperseded(Update update) {
    return roster
        .entry(update.instance())
        .filter(entry -> entry.member().incarnation() > update.incarnation() || entry.isDead())
        .isPresent();
  }

  private List<Update> doubts(Sender sender) {
    return roster
        .entry(sender.instance())
        .map(Roster.Entry::member)
        .filter(member -> member.status() != Status.ALIVE)
        .filter(member -> member.incarnation() >= sender.incarnation())
        .map(member -> List.of(verdict(member, member.status())))
        .orElse(List.of());
  }

  private void meet(Address from, Sender sender, Instant now) {
    Optional<Roster.Entry> entry = roster.entry(sender.instance());
    boolean unknown = entry.isEmpty() || entry.get().member().incarnation() < sender.incarnation();
    if (unknown) {
      long wanted = Roster.fingerprint(sender.instance(), sender.incarnation());
      outbox.send(from, new Sync(sender(), List.of(), List.of(wanted)));
      return;
    }
    roster.heard(sender, now);
    floors.remember(sender.instance(), sender.configVersion());
    targets.heard(entry.get().member().locality(), now);
    boolean isNew = startedAt == null || startedAt.plus(NEW_FOR).isAfter(now);
    comparison.met(from, sender, sender(), isNew, now);
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
    updates.addAll(gossip.piggyback(target.instance(), lastTick));
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

  private final class DetectorPings implements FailureDetector.Pings {

    @Override
    public void ping(Member target, long sequence) {
      Member known = roster.entry(target.instance()).map(Roster.Entry::member).orElse(target);
      sendPing(known, sequence);
    }

    @Override
    public void askToPing(Member helper, Member target, long sequence) {
      PingRequest request =
          new PingRequest(sequence, sender(), target.instance(), target.controlAddress());
      outbox.send(helper.controlAddress(), request);
    }

    @Override
    public void relay(Address requester, long sequence, Sender answered) {
      outbox.send(requester, new Ack(sequence, answered, List.of()));
    }
  }
}
