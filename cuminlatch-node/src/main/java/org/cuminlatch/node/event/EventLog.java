package org.cuminlatch.node.event;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One JSON line for each decision, within a budget of lines a second.
 *
 * <p>Lines are handed to a thread of their own, which loads the logging library only some time
 * after the start so that the first answers don't wait for it. Lines beyond the budget or the
 * buffer are dropped and counted; the count is a line of its own. Safe for use by many threads.
 */
public final class EventLog {

  /** Lines that wait for the thread that writes them. */
  private static final int BUFFERED_LINES = 1024;

  /** One successful call in this many is logged, the same one on every node. */
  private static final int SUCCESS_SAMPLE = 32;

  private static final Duration LOAD_DELAY = Duration.ofMillis(2500);

  /** Time in which lines gather, to be written at once. */
  private static final Duration GATHER = Duration.ofMillis(200);

  private static final Duration FLUSH_WAIT = Duration.ofMillis(400);

  private final InstantSource clock;
  private final String node;
  private final BlockingQueue<CharSequence> buffer = new ArrayBlockingQueue<>(BUFFERED_LINES);
  private final LogRateLimiter budget = new LogRateLimiter();
  private volatile boolean writing;

  private EventLog(InstantSource clock, String node) {
    this.clock = clock;
    this.node = node;
  }

  /**
   * Starts a log.
   *
   * @param clock clock of the node
   * @param node name of the node
   * @return the log
   */
  public static EventLog start(InstantSource clock, String node) {
    EventLog log = new EventLog(clock, node);
    Thread writer = new Thread(log::write, "event-log");
    writer.setDaemon(true);
    writer.start();
    return log;
  }

  private void write() {
    try {
      TimeUnit.MILLISECONDS.sleep(LOAD_DELAY.toMillis());
      Logger events = LogManager.getLogger("events");
      List<CharSequence> lines = new ArrayList<>();
      while (true) {
        lines.add(buffer.take());
        writing = true;
        buffer.drainTo(lines);
        events.info(String.join("\n", lines));
        lines.clear();
        reportDropped(events);
        writing = false;
        TimeUnit.MILLISECONDS.sleep(GATHER.toMillis());
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void reportDropped(Logger events) {
    long lines = buffer.size() < BUFFERED_LINES / 2 ? budget.takeDropped() : 0;
    if (lines > 0) {
      events.warn(new Line("log-lines-dropped", clock.instant(), true).with("lines", lines).text());
    }
  }

  /** Waits a moment for the lines that are buffered, before the process ends. */
  public void flush() {
    long end = System.nanoTime() + FLUSH_WAIT.toNanos();
    while ((writing || !buffer.isEmpty()) && System.nanoTime() < end) {
      try {
        TimeUnit.MILLISECONDS.sleep(10);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /**
   * Returns whether the success of a request is to be logged.
   *
   * @param requestId the request
   * @return the same on every node
   */
  public static boolean samples(String requestId) {
    return Math.floorMod(requestId.hashCode(), SUCCESS_SAMPLE) == 0;
  }

  /**
   * Starts a line on what the process does or believes.
   *
   * @param event what happened
   * @return the line, to be ended with {@link Line#write}
   */
  public Line event(String event) {
    Instant now = clock.instant();
    return new Line(event, now, budget.take(false, now));
  }

  /**
   * Starts a line on a request.
   *
   * @param event what happened to it
   * @param requestId the request
   * @return the line, to be ended with {@link Line#write}
   */
  public Line request(String event, String requestId) {
    Instant now = clock.instant();
    return new Line(event, now, budget.take(true, now)).with("request", requestId);
  }

  /** A line under construction; nothing is built beyond the budget. */
  public final class Line {

    private final StringBuilder text;

    private Line(String event, Instant now, boolean kept) {
      text = kept ? new StringBuilder(224) : null;
      if (kept) {
        text.append("{\"time\":\"").append(now).append("\",\"node\":\"").append(node);
        text.append("\",\"event\":\"").append(event).append('"');
      }
    }

    /**
     * Adds a text.
     *
     * @param key name of the field
     * @param value its value
     * @return this line
     */
    public Line with(String key, String value) {
      if (text != null) {
        text.append(",\"").append(key).append("\":\"");
        JsonStringEncoder.getInstance().quoteAsString(value, text);
        text.append('"');
      }
      return this;
    }

    /**
     * Adds a number.
     *
     * @param key name of the field
     * @param value its value
     * @return this line
     */
    public Line with(String key, long value) {
      if (text != null) {
        text.append(",\"").append(key).append("\":").append(value);
      }
      return this;
    }

    /**
     * Adds a number with three decimals.
     *
     * @param key name of the field
     * @param value its value
     * @return this line
     */
    public Line with(String key, double value) {
      if (text != null) {
        text.append(",\"").append(key).append("\":");
        text.append(String.format(Locale.ROOT, "%.3f", value));
      }
      return this;
    }

    private CharSequence text() {
      return text.append('}');
    }

    /** Hands the line over if the budget and the buffer allow. */
    public void write() {
      if (text != null && !buffer.offer(text())) {
        budget.drop();
      }
    }
  }
}
