package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests that wait for a part of their node's start: for the first configuration, or for the
 * first target of their service.
 *
 * <p>After all nodes have lost power, callers' requests arrive before the nodes can serve them.
 * Most allow more time than the rest of the start takes, so that refusing them loses what could
 * have been served. A request waits only while it can still be served in its time, and requests
 * with the least time left are started first, as the others can wait longer. A waiting request has
 * not run. Not thread-safe.
 *
 * @param <T> type of the requests, which are told apart by {@code equals}
 */
public final class StartupBacklog<T> {

  /**
   * Time after the start of the process in which requests may wait. A start beside other processes
   * on a small machine takes a few seconds; if it takes longer than this, the store or the targets
   * are away, and callers should learn so at once.
   */
  static final Duration START_PERIOD = Duration.ofSeconds(10);

  /**
   * Maximum time for which one request waits. Callers usually allow about 3 s for a request; a
   * longer wait would leave none of them time for another attempt at another node.
   */
  static final Duration MAX_WAIT = Duration.ofSeconds(2);

  /** Time that serving a request usually takes; one that has less left is refused. */
  static final Duration SERVICE_MARGIN = Duration.ofMillis(300);

  /**
   * Maximum number of waiting requests: what a target with six slots serves in {@link #MAX_WAIT} at
   * 0.2 s each. More of them could not be served in their time, as new ones keep arriving.
   */
  static final int MAX_REQUESTS = 60;

  /** Maximum size of the waiting requests' bodies, a small part of a node's heap of 96 MB. */
  static final long MAX_BODY_BYTES = 4 << 20;

  /** Upper bound of the time after which a refused caller should come back. */
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

  /** Lower bound of that time as a share of its upper bound. */
  private static final double MIN_RETRY_SHARE = 0.25;

  /**
   * Part of a caller's time up to which it waits before it comes back. Callers who are told to wait
   * longer come back after this part, all at the same time.
   */
  private static final double MAX_SHARE_OF_TIME_LEFT = 1 / 3.0;

  private final Instant startedAt;
  private final TreeSet<Entry<T>> entries =
      new TreeSet<>(
          Comparator.<Entry<T>, Instant>comparing(Entry::deadline).thenComparing(Entry::number));
  private long lastNumber;
  private long bodyBytes;

  /**
   * Creates an empty backlog.
   *
   * @param startedAt time at which the process started
   */
  public StartupBacklog(Instant startedAt) {
    this.startedAt = notNull(startedAt, "startedAt");
  }

  private record Entry<T>(
      T request, Instant deadline, Instant latestStart, int bodyBytes, long number) {}

  /** What happens to a request that is offered. */
  public enum Offer {
    /** It waits. */
    WAITS,

    /** It is refused, as it could not be served in its time. */
    LATE,

    /** It is refused, as too many others wait. */
    FULL,

    /** It is refused, as the start of the process is too long ago. */
    STARTED
  }

  /**
   * Times and size of a request.
   *
   * @param arrivedAt time at which it arrived at the node
   * @param deadline time up to which its caller waits for the answer
   * @param bodyBytes size of its body
   */
  public record Arrival(Instant arrivedAt, Instant deadline, int bodyBytes) {

    /** Validates the components. */
    public Arrival {
      notNull(arrivedAt, "arrivedAt");
      notNull(deadline, "deadline");
      notNegative(bodyBytes, "bodyBytes");
    }

    /**
     * Creates the arrival of a request whose caller names no time: it waits for {@link #MAX_WAIT}.
     *
     * @param arrivedAt time at which it arrived at the node
     * @param bodyBytes size of its body
     * @return the arrival
     */
    public static Arrival withoutDeadline(Instant arrivedAt, int bodyBytes) {
      return new Arrival(arrivedAt, arrivedAt.plus(MAX_WAIT).plus(SERVICE_MARGIN), bodyBytes);
    }

    private Instant latestStart() {
      Instant byDeadline = deadline.minus(SERVICE_MARGIN);
      Instant byWait = arrivedAt.plus(MAX_WAIT);
      return byDeadline.isBefore(byWait) ? byDeadline : byWait;
    }
  }

  /**
   * Returns whether requests may wait at a time.
   *
   * @param now current time
   * @return true shortly after the start of the process
   */
  public boolean isOpen(Instant now) {
    return now.isBefore(startedAt.plus(START_PERIOD));
  }

  /**
   * Lets a request wait unless it can't be served any more or there is no room.
   *
   * @param request the request
   * @param arrival its times and size
   * @param now current time
   * @return whether it waits, or why it has to be refused
   */
  public Offer offer(T request, Arrival arrival, Instant now) {
    notNull(request, "request");
    if (!isOpen(now)) {
      return Offer.STARTED;
    }
    Instant latestStart = arrival.latestStart();
    if (!now.isBefore(latestStart)) {
      return Offer.LATE;
    }
    if (entries.size() >= MAX_REQUESTS || bodyBytes + arrival.bodyBytes() > MAX_BODY_BYTES) {
      return Offer.FULL;
    }
    lastNumber++;
    entries.add(
        new Entry<>(request, arrival.deadline(), latestStart, arrival.bodyBytes(), lastNumber));
    bodyBytes += arrival.bodyBytes();
    return Offer.WAITS;
  }

  /**
   * Removes the requests that have waited as long as they may; they have to be refused.
   *
   * @param now current time
   * @return the removed requests
   */
  public List<T> expire(Instant now) {
    return take(entry -> !now.isBefore(entry.latestStart()), Integer.MAX_VALUE);
  }

  /**
   * Removes requests that can be started, those with the least time left first.
   *
   * @param ready tells whether the part of the start that a request waits for is complete
   * @param max maximum number of requests
   * @param now current time
   * @return the removed requests in the order in which they have to be started
   */
  public List<T> release(Predicate<T> ready, int max, Instant now) {
    return take(entry -> now.isBefore(entry.latestStart()) && ready.test(entry.request()), max);
  }

  /**
   * Removes a request whose caller has left.
   *
   * @param request the request
   * @return true if it was waiting
   */
  public boolean remove(T request) {
    return !take(entry -> entry.request().equals(request), 1).isEmpty();
  }

  private List<T> take(Predicate<Entry<T>> condition, int max) {
    List<T> taken = new ArrayList<>();
    Iterator<Entry<T>> iterator = entries.iterator();
    while (iterator.hasNext() && taken.size() < max) {
      Entry<T> entry = iterator.next();
      if (condition.test(entry)) {
        iterator.remove();
        bodyBytes -= entry.bodyBytes();
        taken.add(entry.request());
      }
    }
    return taken;
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int size() {
    return entries.size();
  }

  /**
   * Returns the time after which the caller of a refused request should come back. Callers who are
   * refused at the same time come back spread over up to a second, and within their time.
   *
   * @param timeLeft time that the caller still allows, negative if its deadline has passed
   * @param random number from 0 to 1 that differs between callers
   * @return the time after which it should retry
   */
  public static Duration retryDelay(Duration timeLeft, double random) {
    double share = timeLeft.toNanos() * MAX_SHARE_OF_TIME_LEFT;
    double longest =
        timeLeft.isNegative()
            ? MAX_RETRY_DELAY.toNanos()
            : Math.min(share, MAX_RETRY_DELAY.toNanos());
    return Duration.ofNanos((long) (longest * (MIN_RETRY_SHARE + (1 - MIN_RETRY_SHARE) * random)));
  }
}
