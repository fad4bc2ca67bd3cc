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
 * Brings an instance whose seeds don't answer together with others by a stream on the log.
 *
 * <p>An instance that knows nobody reads the newest announcements and contacts their addresses. It
 * announces itself only if few others have done so lately, so that a herd shares one append budget.
 * The mesh's reporter announces itself now and then, so that a live address stands on the stream.
 */
final class LogRendezvous {

  /** Announcements that a herd makes in {@link #BUDGET_PERIOD} before the others only read. */
  static final int BUDGET_APPENDS = 5;

  /** Period of the shared append budget. */
  static final Duration BUDGET_PERIOD = Duration.ofSeconds(20);

  private static final Duration SEEDS_FIRST = Duration.ofSeconds(6);
  private static final Duration FIRST_WAIT = Duration.ofSeconds(10);
  private static final Duration REFRESH = Duration.ofMinutes(5);
  private static final Duration BACKOFF_BASE = Duration.ofSeconds(4);
  private static final Duration BACKOFF_LIMIT = Duration.ofSeconds(60);
  private static final int NEWEST = 32;
  private static final String SEPARATOR = " ";

  private enum Step {
    FIND_END,
    READ,
    ANNOUNCE
  }

  private record Announcement(Address address, Instant at) {}

  private final Member self;
  private final MembershipView view;
  private final Consumer<Address> contact;
  private final BooleanSupplier reporter;
  private final LogRequests requests;
  private final Backoff backoff;
  private Step step = Step.FIND_END;
  private long readFrom;
  private boolean outstanding;
  private Instant startedAt;
  private Instant announcedAt;

  private LogRendezvous(
      Member self,
      MembershipView view,
      Consumer<Address> contact,
      BooleanSupplier reporter,
      LogRequests requests,
      RandomGenerator random) {
    this.self = self;
    this.view = view;
    this.contact = contact;
    this.reporter = reporter;
    this.requests = requests;
    this.backoff = new Backoff(BACKOFF_BASE, BACKOFF_LIMIT, random);
  }

  static LogRendezvous create(
      Member self,
      MembershipView view,
      Consumer<Address> contact,
      BooleanSupplier reporter,
      LogRequests requests,
      RandomGenerator random) {
    return new LogRendezvous(
        notNull(self, "self"),
        notNull(view, "view"),
        notNull(contact, "contact"),
        notNull(reporter, "reporter"),
        notNull(requests, "requests"),
        notNull(random, "random"));
  }

  void onTick(Instant now) {
    if (startedAt == null) {
      startedAt = now;
      backoff.waitUpTo(FIRST_WAIT, now.plus(SEEDS_FIRST));
    }
    if (outstanding || !backoff.isOver(now)) {
      return;
    }
    boolean alone = view.members().size() < 2;
    if (alone) {
      advance(now);
    } else if (!alone) {
      step = Step.FIND_END;
      refresh(now);
    }
  }

  private void advance(Instant now) {
    outstanding = true;
    switch (step) {
      case FIND_END -> {
        requests.read(Stream.RENDEZVOUS, LogRequests.END_OF_STREAM, 1, Duration.ZERO);
      }
      case READ -> requests.read(Stream.RENDEZVOUS, readFrom, NEWEST, Duration.ZERO);
      default -> announce(now);
    }
  }

  private void refresh(Instant now) {
    boolean due = announcedAt == null || !announcedAt.plus(REFRESH).isAfter(now);
    if (due && reporter.getAsBoolean()) {
      outstanding = true;
      announce(now);
    }
  }

  private void announce(Instant now) {
    announcedAt = now;
    String text = self.controlAddress() + SEPARATOR + now;
    requests.append(Stream.RENDEZVOUS, Bytes.copyOf(text.getBytes(StandardCharsets.UTF_8)));
  }

  /** Takes the answer to a read of the stream. */
  void onLogBatch(long firstOffset, long nextOffset, List<LogRecord> records, Instant now) {
    outstanding = false;
    if (step == Step.FIND_END) {
      readFrom = Math.max(firstOffset, nextOffset - NEWEST);
      step = nextOffset > firstOffset ? Step.READ : Step.ANNOUNCE;
      return;
    }
    List<Announcement> found =
        records.stream().map(LogRendezvous::parse).flatMap(Optional::stream).toList();
    found.stream()
        .map(Announcement::address)
        .filter(address -> !address.equals(self.controlAddress()))
        .forEach(contact);
    Instant recent = now.minus(BUDGET_PERIOD);
    long lately = found.stream().filter(one -> one.at().isAfter(recent)).count();
    if (lately < BUDGET_APPENDS) {
      step = Step.ANNOUNCE;
    } else {
      step = Step.FIND_END;
      backoff.failed(now);
    }
  }

  private static Optional<Announcement> parse(LogRecord logged) {
    String text = new String(logged.content().toArray(), StandardCharsets.UTF_8);
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
    outstanding = false;
    step = Step.FIND_END;
    backoff.failed(now);
  }

  void onLogFailure(Instant now) {
    outstanding = false;
    step = Step.FIND_END;
    backoff.failed(now);
  }
}
