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
 * Distributes the records of the log to all instances: one reader per region, with ranked
 * stand-bys, reads the log; records are pushed down a tree of bounded fan-out; missing records are
 * pulled.
 *
 * <p>Must be ticked at least every 100 ms. The configuration version of this instance never
 * decreases.
 */
public final class SpreadEngine implements ControlEngine<SpreadMessage> {

  private final Member self;
  private final ConfigurationReplica replica;
  private final Outbox outbox;
  private final SpreadSettings settings;
  private final SpreadListener listener;
  private final Topology topology;
  private final LogReader logReader;
  private final CheckpointWriter checkpointWriter;
  private final PullRepair repair;
  private final ReaderMonitor readerMonitor;
  private final LogRendezvous rendezvous;
  private final ProgressAggregator progress;
  private final RecordSender recordSender;
  private Instant nextHeartbeatAt = Instant.EPOCH;
  private Consumer<Address> addressConsumer = address -> {};
  private boolean logRendezvousEnabled;
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
    this.logReader = new LogReader(replica, requests, settings, listener, random);
    this.checkpointWriter = new CheckpointWriter(replica, requests, settings, random);
    this.repair = new PullRepair(view, self, settings, random);
    this.readerMonitor = new ReaderMonitor(settings, random);
    this.rendezvous =
        LogRendezvous.create(
            self,
            view,
            address -> addressConsumer.accept(address),
            this::isReporter,
            requests,
            random);
    this.progress = new ProgressAggregator(self.instance(), replica, listener);
    this.recordSender = new RecordSender(replica, outbox, settings);
  }

  /**
   * Creates the engine of an instance.
   *
   * @param self facts of the instance, of which the name, the locality and the control address are
   *     used
   * @param replica copy of the configuration
   * @param view the known members
   * @param requests sends requests to the log
   * @param outbox sends the messages
   * @param random source of random numbers
   * @param settings settings
   * @param listener notified when a configuration comes into force
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
   * Returns the number of members that have the newest version in force, as last reported by the
   * reader.
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
   * Returns whether this instance is the reporter, which writes checkpoints and reports for the
   * whole mesh.
   *
   * @return true for the first of the regions' readers that can reach the log
   */
  public boolean isReporter() {
    if (!topology.isReader() || !logReader.isReadable()) {
      return false;
    }
    for (Member reader : topology.readers()) {
      if (reader.instance().equals(self.instance())) {
        return true;
      }
      if (readerMonitor.canRead(reader.instance())) {
        return false;
      }
    }
    return false;
  }

  /**
   * Enables the discovery of other instances through a stream on the log, used while this instance
   * has no other member.
   *
   * @param addressConsumer receives the control addresses found
   */
  public void enableLogRendezvous(Consumer<Address> addressConsumer) {
    this.addressConsumer = notNull(addressConsumer, "addressConsumer");
    this.logRendezvousEnabled = true;
  }

  @Override
  public void onTick(Instant now) {
    if (!started) {
      started = true;
      logReader.delayUpTo(settings.startGrace(), now);
      readerMonitor.start(now);
    }
    topology.refresh(now);
    repair
        .nextPeer(replica.version(), topology.isHead(), now)
        .ifPresent(peer -> pullFrom(peer.controlAddress(), now));
    if (readerMonitor.mayRead(topology.standbyRank(), now)) {
      logReader.requestNext(now);
    }
    if (logRendezvousEnabled) {
      rendezvous.onTick(now);
    }
    if (isReporter()) {
      checkpointWriter.onTick(logReader.checkpointVersion(), logReader.firstOffset(), now);
    }
    if (topology.isReader() && !nextHeartbeatAt.isAfter(now)) {
      nextHeartbeatAt = now.plus(settings.heartbeatInterval());
      sendHeartbeat(now);
    }
    topology.parent().ifPresent(parent -> reportTo(parent, now));
  }

  private void reportTo(Member parent, Instant now) {
    progress
        .nextReport(topology.children(), now)
        .ifPresent(report -> outbox.send(parent.controlAddress(), report));
  }

  private void pullFrom(Address peer, Instant now) {
    repair.onPullSent(now);
    outbox.send(peer, new Pull(replica.version()));
  }

  private void sendHeartbeat(Instant now) {
    round++;
    InForce region =
        progress.inRegion(topology.children(), topology.memberCount(self.locality().region()), now);
    inForce = readerMonitor.withOtherRegions(region);
    listener.onProgress(inForce);
    Heartbeat regionHeartbeat = heartbeat(inForce);
    topology.headChildren().forEach(head -> outbox.send(head.controlAddress(), regionHeartbeat));
    Heartbeat otherRegionHeartbeat = heartbeat(region);
    topology
        .otherReaders()
        .forEach(other -> outbox.send(other.controlAddress(), otherRegionHeartbeat));
    forwardToZone(regionHeartbeat);
  }

  private Heartbeat heartbeat(InForce inForceCount) {
    return new Heartbeat(
        self.instance(), round, replica.version(), logReader.isReadable(), inForceCount);
  }

  private void forwardToZone(Heartbeat heartbeat) {
    if (topology.isHead() && heartbeat.round() % settings.heartbeatsPerZoneRound() != 0) {
      return;
    }
    Heartbeat forwarded =
        new Heartbeat(
            heartbeat.reader(),
            heartbeat.round(),
            replica.version(),
            heartbeat.logReadable(),
            heartbeat.inForce());
    topology.zoneChildren().forEach(child -> outbox.send(child.controlAddress(), forwarded));
  }

  @Override
  public void onMessage(Address from, SpreadMessage message, Instant now) {
    if (message instanceof Heartbeat heartbeat) {
      onHeartbeat(from, heartbeat, now);
    } else if (message instanceof Records records) {
      onRecords(from, records, now);
    } else if (message instanceof Pull pull) {
      recordSender.answerPull(from, pull.from(), now);
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
    boolean isNew = readerMonitor.onHeartbeat(heartbeat, ownRegion, now);
    if (!isNew) {
      return;
    }
    if (ownRegion) {
      inForce = heartbeat.inForce();
      forwardToZone(heartbeat);
    }
    boolean behind = heartbeat.version() > replica.version();
    boolean logWillDeliver = !ownRegion && logReader.isReadable();
    if (behind && !logWillDeliver && !repair.isAnswerPending(now)) {
      pullFrom(from, now);
    }
  }

  private void onRecords(Address from, Records records, Instant now) {
    if (!records.pushed()) {
      repair.onAnswer();
    }
    if (records.records().isEmpty()) {
      return;
    }
    long first = records.records().get(0).offset();
    if (first > replica.version()) {
      if (!repair.isAnswerPending(now)) {
        pullFrom(from, now);
      }
      return;
    }
    fold(records.records(), now);
  }

  private boolean fold(List<LogRecord> records, Instant now) {
    long versionBefore = replica.version();
    replica.fold(records);
    if (replica.version() == versionBefore) {
      return false;
    }
    notifyInForce();
    List<LogRecord> newRecords =
        records.stream()
            .filter(
                record -> record.offset() >= versionBefore && record.offset() < replica.version())
            .toList();
    recordSender.push(newRecords, topology.children(), now);
    return true;
  }

  private void notifyInForce() {
    Snapshot snapshot = replica.snapshot();
    listener.onInForce(snapshot);
  }

  private void onCheckpoint(Checkpoint checkpoint) {
    repair.onAnswer();
    try {
      if (checkpoint.version() > replica.version() && replica.restore(checkpoint.content())) {
        notifyInForce();
      }
    } catch (CuminlatchException e) {
      listener.onRefused("checkpoint of a peer: " + e.getMessage());
    }
  }

  /**
   * Handles the answer to a read.
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
    long versionBefore = replica.version();
    List<LogRecord> toFold = logReader.onBatch(stream, firstOffset, nextOffset, records, now);
    if (replica.version() > versionBefore) {
      notifyInForce();
    }
    if (!toFold.isEmpty()) {
      long last = toFold.get(toFold.size() - 1).offset();
      fold(toFold, now);
      if (replica.version() <= last) {
        logReader.onGap(replica.version(), toFold.get(0).offset(), now);
      }
    }
  }

  /**
   * Handles the failure of a read or an append.
   *
   * @param stream the stream
   * @param code error code of the failure
   * @param wasAppend whether the request was an append
   * @param now the time
   */
  public void onLogFailure(Stream stream, ErrorCode code, boolean wasAppend, Instant now) {
    if (stream == Stream.RENDEZVOUS) {
      rendezvous.onLogFailure(now);
    } else if (wasAppend) {
      checkpointWriter.onFailure(now);
    } else {
      logReader.onFailure(stream, code, now);
    }
  }

  /**
   * Handles the answer to an append.
   *
   * @param stream the stream
   * @param offset offset assigned to the record
   * @param now the time
   */
  public void onAppended(Stream stream, long offset, Instant now) {
    if (stream == Stream.RENDEZVOUS) {
      rendezvous.onAppended(now);
    } else {
      checkpointWriter.onAppended(now);
    }
  }
}
