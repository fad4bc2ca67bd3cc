package org.cuminlatch.node.event;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.StreamHandler;

/**
 * Writes events as JSON lines, limited in lines per second.
 *
 * <p>A separate thread writes the lines. Lines that exceed the rate limit or the buffer are
 * dropped; their number is logged as a line of its own. Thread-safe.
 *
 * <p>The lines go through the JDK's logging, as Log4j takes as much processor time to start as all
 * other parts of a node together.
 */
public final class EventLog {

  /** Maximum number of lines that wait for the writer thread. */
  private static final int MAX_BUFFERED_LINES = 1024;

  /** One successful call out of this number is logged; every node selects the same calls. */
  private static final int SUCCESS_SAMPLING_DIVISOR = 32;

  /** Interval between writes; lines that arrive within it are written together. */
  private static final Duration BATCH_INTERVAL = Duration.ofMillis(200);

  private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(400);

  private final InstantSource clock;
  private final String node;
  private final BlockingQueue<CharSequence> buffer = new ArrayBlockingQueue<>(MAX_BUFFERED_LINES);
  private final LogRateLimiter rateLimiter = new LogRateLimiter();
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
      Handler output = new StreamHandler(System.out, new LineFormatter());
      List<CharSequence> lines = new ArrayList<>();
      while (true) {
        lines.add(buffer.take());
        writing = true;
        buffer.drainTo(lines);
        publish(output, String.join("\n", lines));
        lines.clear();
        reportDropped(output);
        writing = false;
        TimeUnit.MILLISECONDS.sleep(BATCH_INTERVAL.toMillis());
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void publish(Handler output, String text) {
    output.publish(new LogRecord(Level.INFO, text));
    output.flush();
  }

  private void reportDropped(Handler output) {
    long lines = buffer.size() < MAX_BUFFERED_LINES / 2 ? rateLimiter.getAndResetDropped() : 0;
    if (lines > 0) {
      Line line = new Line("log-lines-dropped", clock.instant(), true).with("lines", lines);
      publish(output, line.text().toString());
    }
  }

  /** Writes nothing but the line itself, which is complete. */
  private static final class LineFormatter extends Formatter {

    @Override
    public String format(LogRecord line) {
      return line.getMessage() + '\n';
    }
  }

  /** Waits for a limited time until the buffered lines are written, before the process ends. */
  public void flush() {
    long deadlineNanos = System.nanoTime() + FLUSH_TIMEOUT.toNanos();
    while ((writing || !buffer.isEmpty()) && System.nanoTime() < deadlineNanos) {
      try {
        TimeUnit.MILLISECONDS.sleep(10);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /**
   * Returns whether the success of a request is logged.
   *
   * @param requestId id of the request
   * @return true for a fixed share of the requests, with the same result on every node
   */
  public static boolean isSampled(String requestId) {
    return Math.floorMod(requestId.hashCode(), SUCCESS_SAMPLING_DIVISOR) == 0;
  }

  /**
   * Starts a line about an action or the state of the process.
   *
   * @param event name of the event
   * @return the line, to be completed with {@link Line#write}
   */
  public Line event(String event) {
    Instant now = clock.instant();
    return new Line(event, now, rateLimiter.tryAcquire(false, now));
  }

  /**
   * Starts a line about a request.
   *
   * @param event name of the event
   * @param requestId id of the request
   * @return the line, to be completed with {@link Line#write}
   */
  public Line request(String event, String requestId) {
    Instant now = clock.instant();
    return new Line(event, now, rateLimiter.tryAcquire(true, now)).with("request", requestId);
  }

  /** A log line under construction; does nothing if the rate limit has been reached. */
  public final class Line {

    private final StringBuilder text;

    private Line(String event, Instant now, boolean permitted) {
      text = permitted ? new StringBuilder(224) : null;
      if (permitted) {
        text.append("{\"time\":\"").append(now).append("\",\"node\":\"").append(node);
        text.append("\",\"event\":\"").append(event).append('"');
      }
    }

    /**
     * Adds a string field.
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
     * Adds an integer field.
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
     * Adds a decimal field, written with three decimals.
     *
     * @param key name of the field
     * @param value its value
     * @return this line
     */
    public Line with(String key, double value) {
      if (text != null) {
        text.append(",\"").append(key).append("\":");
        text.append(Decimals.withThreePlaces(value));
      }
      return this;
    }

    private CharSequence text() {
      return text.append('}');
    }

    /** Passes the line to the writer thread unless the rate limit or the buffer is exceeded. */
    public void write() {
      if (text != null && !buffer.offer(text())) {
        rateLimiter.countDropped();
      }
    }
  }
}
