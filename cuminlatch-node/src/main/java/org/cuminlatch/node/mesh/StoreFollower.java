package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.store.StreamCursor;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.node.mesh.KeyedStore.Page;
import org.cuminlatch.node.mesh.KeyedStore.Stream;

/**
 * Reads the newest records of a stream and then follows it without end; used on the control loop.
 *
 * <p>A node that is not a reader of the stream gets the records from other nodes, and reads the
 * newest records from the store at long intervals only.
 */
final class StoreFollower {

  /** Interval of the check whether this node has become a reader. */
  private static final Duration READER_CHECK_INTERVAL = Duration.ofMillis(250);

  /**
   * Interval of the reads of a node that is not a reader. It gets changes from other nodes, and is
   * a reader itself while it is connected to none; the reads make up for faults of other nodes
   * only.
   */
  private static final Duration STANDBY_READ_INTERVAL = Duration.ofMinutes(2);

  /** Consecutive failures after which the store counts as lost. */
  private static final int FAILURES_UNTIL_LOST = 2;

  /** Factor by which the wait is reduced at most; more calls would not help a slow store. */
  private static final int MAX_WAIT_REDUCTION = 4;

  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(150);

  private final EventLoop loop;
  private final KeyedStore store;
  private final Subscription subscription;
  private final RandomGenerator random;
  private final EventLog log;
  private final Supplier<Duration> clock;
  private final ItemListener listener;
  private final StreamCursor cursor = new StreamCursor();

  /** Number of the read whose result counts; results of earlier ones are dropped. */
  private int currentRead;

  /** Number of reads of the newest records, each of which starts the stream anew. */
  private int newestReads;

  private boolean reading;
  private boolean standingBy;

  /** Consecutive reads that did not continue the one before. */
  private int breaks;

  private int failures;
  private long lastReadNanos;
  private boolean hasRead;

  /** Time that the store took beyond the wait of the latest read that brought no records. */
  private Duration storeDelay = Duration.ZERO;

  private Duration lastWait = Duration.ZERO;

  /**
   * A stream to follow and how to read it.
   *
   * @param stream the stream
   * @param maxWait time for which the store may hold a read without records; it bounds the time
   *     until a silent connection is detected
   * @param firstDelay time between a first read without records and the next, in which nodes that
   *     start together store their addresses and connect
   * @param batchDelay time between the arrival of records and the next read, in which changes
   *     accumulate
   * @param keepsPeriod whether the wait is shortened by the time that the store has lately taken
   *     beyond it, so that slow responses don't make the proofs of {@link KeyProofs} older
   * @param maxRetryDelay longest delay before a failed read is repeated
   * @param isReader returns whether this node is one of those that follow the stream
   */
  record Subscription(
      Stream stream,
      Duration maxWait,
      Duration firstDelay,
      Duration batchDelay,
      boolean keepsPeriod,
      Duration maxRetryDelay,
      BooleanSupplier isReader) {}

  /** Receives the records in the order of the stream; called on the control loop. */
  interface ItemListener {

    /**
     * Called with each record.
     *
     * @param item the record
     * @param era era of the store, {@link org.cuminlatch.core.store.StoreEras#NO_ERA} for none
     */
    void onItem(Item item, long era);

    /** Called with the newest record of each key before they are passed to {@link #onItem}. */
    void onNewestRead(Page page);

    /**
     * Called after the last record of each page.
     *
     * @param page the page
     * @param askedAt time of the follower's clock at which the read began
     */
    void onPageRead(Page page, Duration askedAt);

    /** Called when the store is lost, and when it can be read again. */
    void onStoreChange(boolean lost);
  }

  StoreFollower(
      EventLoop loop,
      KeyedStore store,
      Subscription subscription,
      RandomGenerator random,
      EventLog log,
      Supplier<Duration> clock,
      ItemListener listener) {
    this.loop = loop;
    this.store = store;
    this.subscription = subscription;
    this.random = random;
    this.log = log;
    this.clock = clock;
    this.listener = listener;
  }

  void start() {
    if (cursor.next().isPresent() && !subscription.isReader().getAsBoolean()) {
      standBy();
      return;
    }
    final Stream stream = subscription.stream();
    final Duration askedAt = clock.get();
    OptionalLong from = cursor.next();
    lastWait = from.isEmpty() ? Duration.ZERO : nextWait();
    reading = true;
    currentRead++;
    int read = currentRead;
    var result =
        from.isEmpty() ? store.newest(stream) : store.follow(stream, from.getAsLong(), lastWait);
    result.whenComplete(
        (page, error) -> loop.execute(() -> onReadEnd(read, page, error, from, askedAt)));
  }

  /**
   * Reads the newest records anew and drops the result of the read under way; called when the store
   * has returned from an older copy. A node that only stands by starts with the newest records
   * anyway.
   */
  void restart() {
    if (standingBy) {
      return;
    }
    cursor.reset();
    if (reading) {
      start();
    }
  }

  private Duration nextWait() {
    Duration longest = subscription.maxWait();
    Duration shortest = longest.dividedBy(MAX_WAIT_REDUCTION);
    if (!subscription.keepsPeriod() || storeDelay.isNegative()) {
      return longest;
    }
    Duration reduced = longest.minus(storeDelay);
    return reduced.compareTo(shortest) < 0 ? shortest : reduced;
  }

  /**
   * Reads once, beside the usual reads, what has been stored since the last read. Has no effect
   * before the first read, which is repeated until it succeeds.
   */
  void readNow() {
    OptionalLong from = cursor.next();
    if (from.isEmpty()) {
      return;
    }
    Duration askedAt = clock.get();
    int start = newestReads;
    store
        .follow(subscription.stream(), from.getAsLong(), Duration.ZERO)
        .whenComplete(
            (page, error) ->
                loop.execute(
                    () -> {
                      if (start == newestReads && cursor.next().isPresent()) {
                        onExtraReadEnd(page, error, from, askedAt);
                      }
                    }));
  }

  private void onExtraReadEnd(Page page, Throwable error, OptionalLong from, Duration askedAt) {
    if (error != null) {
      if (isTruncated(error)) {
        cursor.reset();
        restart();
      }
    } else if (continues(page, from)) {
      deliverPage(page, askedAt);
    } else {
      restart();
    }
  }

  /** Returns whether a page continues the records read so far; if not, the cursor is reset. */
  private boolean continues(Page page, OptionalLong from) {
    boolean continued =
        cursor.onFollowed(page.era(), from.getAsLong(), page.end(), page.streamEnd());
    if (!continued) {
      log.event("store-stream-changed")
          .with("stream", subscription.stream().name())
          .with("offset", from.getAsLong())
          .with("end", page.streamEnd())
          .with("era", page.eraOrNone())
          .write();
    }
    return continued;
  }

  /** Waits until the node is a reader or a read is due; both start at the newest records. */
  private void standBy() {
    standingBy =
        cursor.next().isPresent()
            && !subscription.isReader().getAsBoolean()
            && System.nanoTime() - lastReadNanos <= STANDBY_READ_INTERVAL.toNanos();
    if (standingBy) {
      loop.schedule(this::standBy, READER_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    } else {
      cursor.reset();
      start();
    }
  }

  private void onReadEnd(
      int read, Page page, Throwable error, OptionalLong from, Duration askedAt) {
    if (read != currentRead) {
      return;
    }
    reading = false;
    if (error != null) {
      onReadFailed(error);
      return;
    }
    if (failures > 0) {
      log.event("store-regained")
          .with("stream", subscription.stream().name())
          .with("failures", failures)
          .write();
      failures = 0;
      listener.onStoreChange(false);
    }
    if (from.isPresent() && !continues(page, from)) {
      breaks++;
      // one change is followed at once; a store that contradicts itself is not called without pause
      schedule(
          breaks == 1
              ? Duration.ZERO
              : RetryDelay.after(breaks, MIN_RETRY_DELAY, subscription.maxRetryDelay(), random));
      return;
    }
    if (from.isEmpty()) {
      cursor.onNewest(page.era(), page.end());
      newestReads++;
      notifyOfPage(() -> listener.onNewestRead(page));
    } else {
      breaks = 0;
    }
    lastReadNanos = System.nanoTime();
    if (page.items().isEmpty()) {
      storeDelay = clock.get().minus(askedAt).minus(lastWait);
    }
    deliverPage(page, askedAt);
    boolean firstRead = !hasRead;
    hasRead = true;
    if (firstRead && page.items().isEmpty()) {
      schedule(subscription.firstDelay());
    } else if (page.items().isEmpty()) {
      start();
    } else {
      schedule(subscription.batchDelay());
    }
  }

  private void deliverPage(Page page, Duration askedAt) {
    page.items().forEach(item -> deliver(item, page.eraOrNone()));
    notifyOfPage(() -> listener.onPageRead(page, askedAt));
  }

  /** Runs a notification; the stream is followed further also if the listener fails. */
  private void notifyOfPage(Runnable notification) {
    try {
      notification.run();
    } catch (RuntimeException error) {
      log.event("task-failed")
          .with("task", "page of " + subscription.stream().name())
          .with("reason", String.valueOf(error))
          .write();
    }
  }

  private void deliver(Item item, long era) {
    try {
      listener.onItem(item, era);
    } catch (RuntimeException | StackOverflowError unusable) {
      log.event("record-unusable")
          .with("stream", subscription.stream().name())
          .with("key", item.key())
          .with("offset", item.offset())
          .with("reason", String.valueOf(unusable))
          .write();
    }
  }

  private void onReadFailed(Throwable error) {
    if (failures == 0) {
      log.event("store-lost")
          .with("stream", subscription.stream().name())
          .with("reason", String.valueOf(error))
          .write();
    }
    failures++;
    if (failures == FAILURES_UNTIL_LOST) {
      listener.onStoreChange(true);
    }
    if (isTruncated(error)) {
      cursor.reset();
    }
    schedule(RetryDelay.after(failures, MIN_RETRY_DELAY, subscription.maxRetryDelay(), random));
  }

  private static boolean isTruncated(Throwable error) {
    return error instanceof CuminlatchException storeError
        && storeError.code() == ErrorCode.LOG_TRUNCATED;
  }

  private void schedule(Duration delay) {
    loop.schedule(this::start, delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
