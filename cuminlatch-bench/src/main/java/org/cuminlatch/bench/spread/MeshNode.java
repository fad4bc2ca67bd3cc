package org.cuminlatch.bench.spread;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.MembershipEngine;
import org.cuminlatch.core.membership.MembershipMessage;
import org.cuminlatch.core.membership.MembershipSettings;
import org.cuminlatch.core.spread.LogRequests;
import org.cuminlatch.core.spread.SpreadEngine;
import org.cuminlatch.core.spread.SpreadListener;
import org.cuminlatch.core.spread.SpreadMessage;
import org.cuminlatch.core.spread.SpreadSettings;
import org.cuminlatch.wire.config.ConfigurationCodecs;

/** A simulated node process: its membership and spread engines, connected as in the node daemon. */
final class MeshNode implements SpreadListener, LogRequests {

  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final int CALL_PORT = 7_001;

  /** Notified when a configuration version comes into force at a node. */
  interface InForceListener {
    void onInForce(MeshNode node, long version);
  }

  private final VirtualTime time;
  private final MeshLog log;
  private final Member self;
  private final MembershipEngine membership;
  private final SpreadEngine spread;
  private final ConfigurationReplica replica;
  private final InForceListener listener;
  private boolean stopped;

  MeshNode(
      VirtualTime time,
      MeshNetwork network,
      MeshLog log,
      String instance,
      Locality locality,
      Address address,
      List<Address> seeds,
      RandomGenerator random,
      InForceListener listener) {
    this.time = time;
    this.log = log;
    this.listener = listener;
    this.self =
        new Member(
            instance,
            time.now().getEpochSecond(),
            Member.Status.ALIVE,
            address,
            new Address(address.host(), CALL_PORT),
            locality,
            "service-" + Math.floorMod(instance.hashCode(), 160),
            "v1",
            6,
            Phase.STARTING,
            Set.of(1, 2),
            0,
            "");
    this.replica = ConfigurationCodecs.replica(event -> {});
    this.membership =
        MembershipEngine.create(
            self,
            seeds,
            (to, message) -> network.send(address, to, message),
            random,
            MembershipSettings.defaults(),
            (member, change) -> {});
    this.spread =
        SpreadEngine.create(
            self,
            replica,
            membership,
            this,
            (to, message) -> network.send(address, to, message),
            random,
            SpreadSettings.defaults(),
            this);
    network.attach(address, locality, this::receive);
    long startDelayNanos = random.nextLong(TICK_INTERVAL.toNanos());
    time.after(Duration.ofNanos(startDelayNanos), this::tick);
  }

  private void receive(Address from, ControlMessage message) {
    if (stopped) {
      return;
    }
    if (message instanceof MembershipMessage membershipMessage) {
      membership.onMessage(from, membershipMessage, time.now());
    } else {
      spread.onMessage(from, (SpreadMessage) message, time.now());
    }
  }

  private void tick() {
    if (stopped) {
      return;
    }
    membership.onTick(time.now());
    spread.onTick(time.now());
    boolean atFloor =
        membership.floor().isPresent() && replica.version() >= membership.floor().getAsLong();
    if (atFloor && membership.self().phase() == Phase.STARTING && replica.version() > 0) {
      membership.updatePhase(Phase.SERVING, time.now());
    }
    time.after(TICK_INTERVAL, this::tick);
  }

  @Override
  public void onInForce(Snapshot snapshot) {
    membership.updateConfiguration(snapshot.version(), snapshot.stateHash());
    listener.onInForce(this, snapshot.version());
  }

  @Override
  public void read(Stream stream, long from, int maxRecords, Duration wait) {
    log.read(
        self.locality(),
        stream,
        from,
        maxRecords,
        wait,
        (first, next, records) -> {
          if (!stopped) {
            spread.onLogBatch(stream, first, next, records, time.now());
          }
        },
        () -> onLogFailure(stream, false));
  }

  private void onLogFailure(Stream stream, boolean append) {
    if (!stopped) {
      spread.onLogFailure(stream, ErrorCode.LOG_UNAVAILABLE, append, time.now());
    }
  }

  @Override
  public void append(Stream stream, Bytes content) {
    if (!log.isReachable(self.locality())) {
      time.after(Duration.ofSeconds(1), () -> onLogFailure(stream, true));
      return;
    }
    time.after(
        Duration.ofMillis(10),
        () -> {
          long offset = log.append(stream, content);
          if (!stopped) {
            spread.onAppended(stream, offset, time.now());
          }
        });
  }

  void stop() {
    stopped = true;
  }

  Member self() {
    return self;
  }

  long version() {
    return replica.version();
  }

  int memberCount() {
    return membership.members().size();
  }

  SpreadEngine spread() {
    return spread;
  }

  Phase phase() {
    return membership.self().phase();
  }
}
