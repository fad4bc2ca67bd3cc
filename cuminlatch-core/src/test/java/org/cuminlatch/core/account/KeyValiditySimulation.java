package org.cuminlatch.core.account;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.cuminlatch.core.account.Inquiry.Source;
import org.cuminlatch.core.account.InquiryPeers.Peer;
import org.cuminlatch.core.account.KeyValidity.Proof;
import org.cuminlatch.core.membership.Locality;

/**
 * Nodes of several zones that accept requests by keys, in virtual time. Each new version withdraws
 * a key of the one before.
 */
final class KeyValiditySimulation {

  static final Duration BOUND = Duration.ofSeconds(5);

  private static final long WAIT_MILLIS = 1500;
  private static final long TICK_MILLIS = 50;

  /** Time after which the other nodes notice that a node is silent. */
  private static final long SUSPECT_MILLIS = 1400;

  final List<Node> nodes = new ArrayList<>();
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::order));
  private final boolean heldUp;

  /** Times at which the store has acknowledged the versions, the first one at 0. */
  private final List<Long> acknowledgedAt = new ArrayList<>(List.of(0L));

  /** Newest version that the store holds, which may have lost acknowledged ones. */
  private long stored = 1;

  private long storeEra = 1;
  private long now;
  private long order;

  private record Event(long at, long order, Runnable task) {}

  /**
   * Creates nodes that have just been started.
   *
   * @param heldUp whether some messages are lost or held up for seconds
   */
  KeyValiditySimulation(long seed, int zones, int nodesPerZone, boolean heldUp) {
    this.random = new SplittableRandom(seed);
    this.heldUp = heldUp;
    for (int i = 0; i < zones * nodesPerZone; i++) {
      Locality locality = new Locality("r" + i % zones / 2, "z" + i % zones);
      Node node = new Node(String.format("n%03d", i), locality);
      nodes.add(node);
      node.start();
    }
  }

  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.poll();
      now = event.at();
      event.task().run();
    }
    now = end;
  }

  void at(long time, Runnable task) {
    events.add(new Event(Math.max(time, now), order++, task));
  }

  long randomMillis(long min, long max) {
    return random.nextLong(min, max + 1);
  }

  void publish() {
    acknowledgedAt.add(now);
    stored = newest();
  }

  /** Lets the store return from an older copy; the operator writes again what it has lost. */
  void returnFromCopy(long copyAgeMillis, long rewriteMillis) {
    stored = acknowledgedAt.stream().filter(at -> at <= Math.max(0, now - copyAgeMillis)).count();
    storeEra++;
    at(now + rewriteMillis, () -> stored = newest());
  }

  private long newest() {
    return acknowledgedAt.size();
  }

  private long messageDelay() {
    boolean isHeldUp = heldUp && random.nextInt(10) == 0;
    return isHeldUp ? randomMillis(100, 9000) : randomMillis(1, 20);
  }

  /** A node; its tasks run only while its machine is not suspended. */
  final class Node {

    private final Peer self;
    private KeyValidity validity;
    private StoreReadProofs storeProofs;
    private long knownEra;
    private ElapsedTime elapsed;
    private int starts;
    private long inForce;
    private long newestKnown;
    private long suspendedUntil;
    private long suspendedMillis;
    private long clockOffset;
    private boolean cutFromStore;
    private boolean cutFromNodes;
    private long cutSince;
    private boolean polling;
    long inquiriesToOtherZones;
    long inquiriesToStore;
    long accepted;
    long refused;

    private Node(String name, Locality locality) {
      this.self = new Peer(name, locality, true);
    }

    void start() {
      starts++;
      validity = new KeyValidity(BOUND);
      storeProofs = new StoreReadProofs();
      knownEra = 0;
      elapsed = new ElapsedTime(reading());
      inForce = 0;
      newestKnown = 0;
      polling = false;
      run(0, () -> readStore(0));
      run(randomMillis(0, TICK_MILLIS), this::tick);
      run(randomMillis(0, TICK_MILLIS), this::check);
    }

    void suspend(long millis) {
      suspendedMillis += Math.max(0, now + millis - Math.max(now, suspendedUntil));
      suspendedUntil = Math.max(suspendedUntil, now + millis);
    }

    /** Sets the time of day, which the node reads before its machine can be suspended. */
    void setClock(long stepMillis) {
      if (suspendedUntil <= now) {
        time();
        clockOffset += stepMillis;
        time();
      }
    }

    void cut(boolean fromStore, boolean fromNodes) {
      cutSince = fromNodes && !cutFromNodes ? now : cutSince;
      cutFromStore = fromStore;
      cutFromNodes = fromNodes;
    }

    private ClockReading reading() {
      return new ClockReading(
          (now - suspendedMillis) * 1_000_000, Instant.ofEpochMilli(now + clockOffset));
    }

    private Duration time() {
      return elapsed.advance(reading());
    }

    /** Runs a task of this process after a delay, once its machine is not suspended. */
    private void run(long delay, Runnable task) {
      int process = starts;
      at(
          now + delay,
          () -> {
            if (process != starts) {
              return;
            }
            if (suspendedUntil > now) {
              run(suspendedUntil - now, task);
            } else {
              task.run();
            }
          });
    }

    private void tick() {
      run(TICK_MILLIS, this::tick);
      List<Peer> peers = peers();
      InquirySchedule.Role role = InquiryPeers.role(self, peers);
      if (role == InquirySchedule.Role.READER && !polling && inForce > 0) {
        polling = true;
        readStore(WAIT_MILLIS);
      }
      Duration askedAt = time();
      if (validity.shouldPull(inForce, askedAt)) {
        long pulled = newestKnown;
        run(2 * messageDelay(), () -> apply(pulled));
      }
      for (Inquiry inquiry : validity.dueInquiries(inForce, askedAt, () -> role)) {
        List<String> asked = InquiryPeers.toAsk(inquiry, self.locality(), peers);
        if (inquiry.source() == Source.STORE) {
          inquiriesToStore++;
          readStore(0);
        } else if (asked.isEmpty()) {
          validity.markUnavailable(inquiry.source());
        }
        inquiriesToOtherZones += inquiry.source() == Source.OTHER_ZONE ? asked.size() : 0;
        nodes.stream()
            .filter(node -> asked.contains(node.self.node()))
            .forEach(node -> node.ask(this, askedAt));
      }
    }

    private List<Peer> peers() {
      return nodes.stream()
          .filter(node -> node != this && !isSuspect(node))
          .map(node -> node.self)
          .toList();
    }

    private boolean isSuspect(Node node) {
      return node.cutFromNodes && now - node.cutSince > SUSPECT_MILLIS;
    }

    private void ask(Node asker, Duration askedAt) {
      if (cutFromNodes || asker.cutFromNodes) {
        return;
      }
      int askingProcess = asker.starts;
      run(
          messageDelay(),
          () ->
              validity
                  .latestProof()
                  .ifPresent(
                      proof -> {
                        Duration age = time().minus(proof.provenAt());
                        asker.runAs(
                            askingProcess,
                            messageDelay(),
                            () -> asker.onAnswer(proof.version(), age, askedAt, this));
                      }));
    }

    private void runAs(int process, long delay, Runnable task) {
      if (process == starts && !cutFromNodes) {
        run(delay, task);
      }
    }

    private void onAnswer(long version, Duration age, Duration askedAt, Node from) {
      validity.record(new Proof(version, askedAt.minus(age)), inForce);
      long known = from.inForce;
      newestKnown = Math.max(newestKnown, known);
      // the usual exchange of versions, see ConfigurationPullSchedule
      run(randomMillis(300, 1200), () -> apply(known));
    }

    private void readStore(long waitMillis) {
      Duration askedAt = time();
      if (cutFromStore) {
        run(3000, () -> endPoll(waitMillis));
        return;
      }
      int process = starts;
      at(
          now + messageDelay(),
          () -> respond(process, askedAt, inForce, now + waitMillis, waitMillis, storeEra));
    }

    /** Responds at the store, once there is a newer version or the wait has ended. */
    private void respond(
        int process, Duration askedAt, long known, long until, long waitMillis, long askedEra) {
      if (stored <= known && now < until && askedEra == storeEra) {
        at(now + 10, () -> respond(process, askedAt, known, until, waitMillis, askedEra));
        return;
      }
      long version = stored;
      long era = storeEra;
      if (process == starts) {
        run(messageDelay(), () -> onResponse(version, era, askedAt, waitMillis));
      }
    }

    private void onResponse(long version, long era, Duration askedAt, long waitMillis) {
      endPoll(waitMillis);
      if (onEra(era)) {
        nodes.forEach(node -> node.runAs(node.starts, messageDelay(), () -> node.onEra(era)));
        readStore(0);
      } else if (era == knownEra) {
        apply(version);
        storeProofs.recordVersion(version);
        storeProofs.prove(askedAt).ifPresent(proof -> validity.record(proof, inForce));
      }
    }

    /** Handles the era of a response or of another node; returns whether the store has returned. */
    private boolean onEra(long era) {
      boolean returned = knownEra > 0 && era > knownEra;
      knownEra = Math.max(knownEra, era);
      if (returned) {
        storeProofs.recordReturn(time());
        run(StoreReadProofs.REWRITE_PERIOD.toMillis(), this::readIfReader);
      }
      return returned;
    }

    private void readIfReader() {
      if (InquiryPeers.role(self, peers()) == InquirySchedule.Role.READER) {
        readStore(0);
      }
    }

    private void endPoll(long waitMillis) {
      polling = polling && waitMillis == 0;
    }

    private void apply(long version) {
      inForce = Math.max(inForce, version);
    }

    /** Handles a request that has just been sent. */
    private void check() {
      run(randomMillis(10, 150), this::check);
      if (inForce == 0) {
        return;
      }
      if (!validity.accepts(inForce, time())) {
        refused++;
        return;
      }
      accepted++;
      boolean outdated =
          newest() > inForce && now - acknowledgedAt.get((int) inForce) > BOUND.toMillis();
      if (outdated) {
        throw new AssertionError(
            self.node()
                + " accepts version "
                + inForce
                + " at "
                + now
                + ", the next one was acknowledged at "
                + acknowledgedAt.get((int) inForce));
      }
    }
  }
}
