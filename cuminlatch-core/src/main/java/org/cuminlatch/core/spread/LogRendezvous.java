package org.cuminlatch.core.spread;

import static org.cuminlatch.core.Preconditions.notNull;

import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipView;
import org.cuminlatch.core.spread.LogRequests.Stream;

/**
 * Peer discovery through a stream on the log, for instances whose seeds do not answer.
 *
 * <p>An instance without any other member reads the newest announcements and contacts their
 * addresses. It announces itself only if few others have done so recently, so that the instances of
 * a mass restart share one append budget. The reporter of the mesh announces itself periodically,
 * so that the stream always contains a live address.
 */
final class LogRendezvous {

  /**
   * Number of announcements within {@link #APPEND_WINDOW} from which on the other instances of a
   * mass restart only read.
   */
  static final int MAX_APPENDS_PER_WINDOW = 5;

  /** Time window of the shared append budget. */
  static final Duration APPEND_WINDOW = Duration.ofSeconds(20);

  /** Time after the start that is left to the contact with seeds. */
  private static final Duration SEED_CONTACT_GRACE = Duration.ofSeconds(6);

  private static final Duration MAX_FIRST_DELAY = Duration.ofSeconds(10);
  private static final Duration REFRESH_INTERVAL = Duration.ofMinutes(5);
  private static final Duration BACKOFF_BASE_DELAY = Duration.ofSeconds(4);
  private static final Duration MAX_BACKOFF_DELAY = Duration.ofSeconds(60);
  private static final int MAX_ANNOUNCEMENTS_READ = 32;
  private static final String SEPARATOR = " ";

  private enum State {
    FIND_END,
    READ,
    ANNOUNCE
  }

  private record Announcement(Address address, Instant at) {}

  private final Member self;
  private final MembershipView view;
  private final Consumer<Address> addressConsumer;
  private final BooleanSupplier isReporter;
  private final LogRequests requests;
  private final Backoff backoff;
  private State state = State.FIND_END;
  private long readFrom;
  private boolean requestPending;
  private Instant startedAt;
  private Instant announcedAt;

  private LogRendezvous(
      Member self,
      MembershipView view,
      Consumer<Address> addressConsumer,
      BooleanSupplier isReporter,
      LogRequests requests,
      RandomGenerator random) {
    this.self = self;
    this.view = view;
    this.addressConsumer = addressConsumer;
    this.isReporter = isReporter;
    this.requests = requests;
    this.backoff = new Backoff(BACKOFF_BASE_DELAY, MAX_BACKOFF_DELAY, random);
  }

  /**
   * Creates the peer discovery of an instance.
   *
   * @param self facts of the instance
   * @param view the known members
   * @param addressConsumer receives the addresses found
   * @param isReporter whether the instance is the reporter of the mesh
   * @param requests sends requests to the log
   * @param random source of random numbers
   * @return the peer discovery
   */
  static LogRendezvous create(
      Member self,
      MembershipView view,
      Consumer<Address> addressConsumer,
      BooleanSupplier isReporter,
      LogRequests requests,
      RandomGenerator random) {
    return new LogRendezvous(
        notNull(self, "self"),
        notNull(view, "view"),
        notNull(addressConsumer, "addressConsumer"),
        notNull(isReporter, "isReporter"),
        notNull(requests, "requests"),
        notNull(random, "random"));
  }

  void onTick(Instant now) {
    if (startedAt == null) {
      startedAt = now;
      backoff.delayUpTo(MAX_FIRST_DELAY, now.plus(SEED_CONTACT_GRACE));
    }
    if (requestPending || !backoff.isElapsed(now)) {
      return;
    }
    boolean alone = view.members().size() < 2;
    if (alone) {
      requestNext(now);
    } else if (!alone) {
      state = State.FIND_END;
      refreshAnnouncement(now);
    }
  }

  private void requestNext(Instant now) {
    requestPending = true;
    switch (state) {
      case FIND_END -> {
        requests.read(Stream.RENDEZVOUS, LogRequests.END_OF_STREAM, 1, Duration.ZERO);
      }
      case READ ->
          requests.read(Stream.RENDEZVOUS, readFrom, MAX_ANNOUNCEMENTS_READ, Duration.ZERO);
      default -> announce(now);
    }
  }

  private void refreshAnnouncement(Instant now) {
    boolean due = announcedAt == null || !announcedAt.plus(REFRESH_INTERVAL).isAfter(now);
    if (due && isReporter.getAsBoolean()) {
      requestPending = true;
      announce(now);
    }
  }

  private void announce(Instant now) {
    announcedAt = now;
    String text = self.controlAddress() + SEPARATOR + now;
    requests.append(Stream.RENDEZVOUS, Bytes.copyOf(text.getBytes(StandardCharsets.UTF_8)));
  }

  /** Handles the answer to a read of the stream. */
  void onLogBatch(long firstOffset, long nextOffset, List<LogRecord> records, Instant now) {
    requestPending = false;
    if (state == State.FIND_END) {
      readFrom = Math.max(firstOffset, nextOffset - MAX_ANNOUNCEMENTS_READ);
      state = nextOffset > firstOffset ? State.READ : State.ANNOUNCE;
      return;
    }
    List<Announcement> found =
        records.stream().map(LogRendezvous::parse).flatMap(Optional::stream).toList();
    found.stream()
        .map(Announcement::address)
        .filter(address -> !address.equals(self.controlAddress()))
        .forEach(addressConsumer);
    Instant windowStart = now.minus(APPEND_WINDOW);
    long recentAnnouncements =
        found.stream().filter(announcement -> announcement.at().isAfter(windowStart)).count();
    if (recentAnnouncements < MAX_APPENDS_PER_WINDOW) {
      state = State.ANNOUNCE;
    } else {
      state = State.FIND_END;
      backoff.onFailure(now);
    }
  }

  private static Optional<Announcement> parse(LogRecord logRecord) {
    String text = new String(logRecord.content().toArray(), StandardCharsets.UTF_8);
    String[] parts = text.split(SEPARATOR);
    if (parts.length != 2) {
      return Optional.empty();
    }
    try {
      return Optional.of(new Announcement(Address.parse(parts[0]), Instant.parse(parts[1])));
    } catch (IllegalArgumentException | DateTimeException e) {
      return Optional.empty();
    }
  }

  void onAppended(Instant now) {
    requestPending = false;
    state = State.FIND_END;
    backoff.onFailure(now);
  }

  void onLogFailure(Instant now) {
    requestPending = false;
    state = State.FIND_END;
    backoff.onFailure(now);
  }
}
