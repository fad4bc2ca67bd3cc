package org.cuminlatch.core.spread;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.control.ControlEngine;
import org.cuminlatch.core.control.Outbox;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipView;
import org.cuminlatch.core.spread.LogRequests.Stream;
import org.cuminlatch.core.spread.SpreadMessage.Checkpoint;
import org.cuminlatch.core.spread.SpreadMessage.Heartbeat;
import org.cuminlatch.core.spread.SpreadMessage.Progress;
import org.cuminlatch.core.spread.SpreadMessage.Pull;
import org.cuminlatch.core.spread.SpreadMessage.Records;

/**
 * Brings every instance's configuration to the end of the log: ranked readers, push down a tree of
 * bounded fan-out, pull as repair.
 *
 * <p>Wants a tick at least every 100 ms. The configuration version of this instance only rises.
 */
public final class SpreadEngine implements ControlEngine<SpreadMessage> {

  private final Member self;
  private final ConfigurationReplica replica;
  private final Outbox outbox;
  private final SpreadSettings settings;
  private final SpreadListener listener;
  private final Topology topology;
  private final LogReading log;
  private final CheckpointWriting checkpoints;
  private final PullRepair repair;
  private final ReaderWatch watch;
  private final LogRendezvous rendezvous;
  private final ProgressCount progress;
  private final RecordExchange exchange;
  private Instant nextHeartbeat = Instant.EPOCH;
  private Consumer<Address> contact = address -> {};
  private boolean meetsOnLog;
  private long round;
  private boolean started;
  private InForce inForce = InForce.UNKNOWN;

  private SpreadEngine(
      Member self,
      ConfigurationReplica replica,
      MembershipView view,
      LogRequests requests,
      Outbox outbox,
      RandomGenerator random,
      SpreadSettings settings,
      SpreadListener listener) {
    this.self = self;
    this.replica = replica;
    this.outbox = outbox;
    this.settings = settings;
    this.listener = listener;
    this.topology = new Topology(view, self, settings.fanOut());
    this.log = new LogReading(replica, requests, settings, listener, random);
    this.checkpoints = new CheckpointWriting(replica, requests, settings, random);
    this.repair = new PullRepair(view, self, settings, random);
    this.watch = new ReaderWatch(settings, random);
    this.rendezvous =
        LogRendezvous.create(
            self, view, address -> contact.accept(address), this::isReporter, requests, random);
    this.progress = new ProgressCount(self.instance(), replica, listener);
    this.exchange = new RecordExchange(replica, outbox, settings);
  }

  /**
   * Creates the engine of an instance.
   *
   * @param self facts of the instance, of which name and place count
   * @param replica copy of the configuration
   * @param view the members known
   * @param requests takes requests to the log
   * @param outbox takes the messages
   * @param random source of random numbers
   * @param settings settings
   * @param listener hears what comes into force
   * @return the engine
   */
  public static SpreadEngine create(
      Member self,
      ConfigurationReplica replica,
      MembershipView view,
      LogRequests requests,
      Outbox outbox,
      RandomGenerator random,
      SpreadSettings settings,
      SpreadListener listener) {
    return new SpreadEngine(
        notNull(self, "self"),
        notNull(replica, "replica"),
        notNull(view, "view"),
        notNull(requests, "requests"),
        notNull(outbox, "outbox"),
        notNull(random, "random"),
        notNull(settings, "settings"),
        notNull(listener, "listener"));
  }

  /**
   * Returns on how many members the newest version is in force, as last heard from the reader.
   *
   * @return the count
   */
  public InForce inForce() {
    return inForce;
  }

  /**
   * Returns whether this instance reads the log for its region.
   *
   * @return true for the region's reader
   */
  public boolean isReader() {
    return topology.isReader();
  }

  /**
   * Returns whether this instance acts for the whole mesh: it writes checkpoints and reports.
   *
   * @return true for the first of the regions' readers that can reach the log
   */
  public boolean isReporter() {
    if (!topology.isReader() || !log.isReadable()) {
      return false;
    }
    for (Member reader : topology.readers()) {
      if (reader.instance().equals(self.instance())) {
        return true;
      }
      if (watch.canRead(reader.instance())) {
        return false;
      }
    }
    return false;
  }

  /**
   * Lets this instance, while it knows no other, look for some by a stream on the log.
   *
   * @param contact takes addresses to join by
   */
  public void meetOnLog(Consumer<Address> contact) {
    this.contact = notNull(contact, "contact");
    this.meetsOnLog = true;
  }

  @Override
  public void onTick(Instant now) {
    if (!started) {
      started = true;
      log.waitUpTo(settings.startGrace(), now);
      watch.start(now);
    }
    topology.refresh(now);
    repair
        .due(replica.version(), topology.isHead(), now)
        .ifPresent(peer -> pullFrom(peer.controlAddress(), now));
    if (watch.mayRead(topology.standbyRank(), now)) {
      log.advance(now);
    }
    if (meetsOnLog) {
      rendezvous.onTick(now);
    }
    if (isReporter()) {
      checkpoints.onTick(log.checkpointVersion(), log.firstOffset(), now);
    }
    if (topology.isReader() && !nextHeartbeat.isAfter(now)) {
      nextHeartbeat = now.plus(settings.heartbeatInterval());
      sendHeartbeat(now);
    }
    topology.parent().ifPresent(parent -> reportTo(parent, now));
  }

  private void reportTo(Member parent, Instant now) {
    progress
        .due(topology.children(), now)
        .ifPresent(report -> outbox.send(parent.controlAddress(), report));
  }

  private void pullFrom(Address peer, Instant now) {
    repair.asked(now);
    outbox.send(peer, new Pull(replica.version()));
  }

  private void sendHeartbeat(Instant now) {
    round++;
    InForce region =
        progress.inRegion(topology.children(), topology.memberCount(self.locality().region()), now);
    inForce = watch.withOtherRegions(region);
    listener.onProgress(inForce);
    Heartbeat down = heartbeat(inForce);
    topology.headChildren().forEach(head -> outbox.send(head.controlAddress(), down));
    Heartbeat across = heartbeat(region);
    topology.otherReaders().forEach(other -> outbox.send(other.controlAddress(), across));
    passDown(down);
  }

  private Heartbeat heartbeat(InForce counted) {
    return new Heartbeat(self.instance(), round, replica.version(), log.isReadable(), counted);
  }

  private void passDown(Heartbeat heartbeat) {
    if (topology.isHead() && heartbeat.round() % settings.heartbeatsPerZoneRound() != 0) {
      return;
    }
    Heartbeat own =
        new Heartbeat(
            heartbeat.reader(),
            heartbeat.round(),
            replica.version(),
            heartbeat.logReadable(),
            heartbeat.inForce());
    topology.zoneChildren().forEach(child -> outbox.send(child.controlAddress(), own));
  }

  @Override
  public void onMessage(Address from, SpreadMessage message, Instant now) {
    if (message instanceof Heartbeat heartbeat) {
      onHeartbeat(from, heartbeat, now);
    } else if (message instanceof Records records) {
      onRecords(from, records, now);
    } else if (message instanceof Pull pull) {
      exchange.answer(from, pull.from(), now);
    } else if (message instanceof Progress report) {
      progress.onProgress(report, now);
    } else if (message instanceof Checkpoint checkpoint) {
      onCheckpoint(checkpoint);
    }
  }

  private void onHeartbeat(Address from, Heartbeat heartbeat, Instant now) {
    boolean ownRegion =
        topology.otherReaders().stream()
            .noneMatch(reader -> reader.instance().equals(heartbeat.reader()));
    boolean news = watch.onHeartbeat(heartbeat, ownRegion, now);
    if (!news) {
      return;
    }
    if (ownRegion) {
      inForce = heartbeat.inForce();
      passDown(heartbeat);
    }
    boolean behind = heartbeat.version() > replica.version();
    boolean logMayBring = !ownRegion && log.isReadable();
    if (behind && !logMayBring && !repair.isAwaited(now)) {
      pullFrom(from, now);
    }
  }

  private void onRecords(Address from, Records records, Instant now) {
    if (!records.pushed()) {
      repair.answered();
    }
    if (records.records().isEmpty()) {
      return;
    }
    long first = records.records().get(0).offset();
    if (first > replica.version()) {
      if (!repair.isAwaited(now)) {
        pullFrom(from, now);
      }
      return;
    }
    fold(records.records(), now);
  }

  private boolean fold(List<LogRecord> records, Instant now) {
    long before = replica.version();
    replica.fold(records);
    if (replica.version() == before) {
      return false;
    }
    inForceChanged();
    List<LogRecord> fresh =
        records.stream()
            .filter(record -> record.offset() >= before && record.offset() < replica.version())
            .toList();
    exchange.push(fresh, topology.children(), now);
    return true;
  }

  private void inForceChanged() {
    Snapshot snapshot = replica.snapshot();
    listener.onInForce(snapshot);
  }

  private void onCheckpoint(Checkpoint checkpoint) {
    repair.answered();
    try {
      if (checkpoint.version() > replica.version() && replica.restore(checkpoint.content())) {
        inForceChanged();
      }
    } catch (CuminlatchException e) {
      listener.onRefused("checkpoint of a peer: " + e.getMessage());
    }
  }

  /**
   * Takes the answer to a read.
   *
   * @param stream the stream
   * @param firstOffset oldest offset that the log retains
   * @param nextOffset offset that the next record will get
   * @param records the records read
   * @param now the time
   */
  public void onLogBatch(
      Stream stream, long firstOffset, long nextOffset, List<LogRecord> records, Instant now) {
    if (stream == Stream.RENDEZVOUS) {
      rendezvous.onLogBatch(firstOffset, nextOffset, records, now);
      return;
    }
    long before = replica.version();
    List<LogRecord> found = log.onBatch(stream, firstOffset, nextOffset, records, now);
    if (replica.version() > before) {
      inForceChanged();
    }
    if (!found.isEmpty()) {
      long last = found.get(found.size() - 1).offset();
      fold(found, now);
      if (replica.version() <= last) {
        log.onGap(replica.version(), found.get(0).offset(), now);
      }
    }
  }

  /**
   * Takes the failure of a read or an append.
   *
   * @param stream the stream
   * @param code what went wrong
   * @param wasAppend whether it was an append
   * @param now the time
   */
  public void onLogFailure(Stream stream, ErrorCode code, boolean wasAppend, Instant now) {
    if (stream == Stream.RENDEZVOUS) {
      rendezvous.onLogFailure(now);
    } else if (wasAppend) {
      checkpoints.onFailure(now);
    } else {
      log.onFailure(stream, code, now);
    }
  }

  /**
   * Takes the answer to an append.
   *
   * @param stream the stream
   * @param offset offset given to the record
   * @param now the time
   */
  public void onAppended(Stream stream, long offset, Instant now) {
    if (stream == Stream.RENDEZVOUS) {
      rendezvous.onAppended(now);
    } else {
      checkpoints.onAppended(now);
    }
  }
}
