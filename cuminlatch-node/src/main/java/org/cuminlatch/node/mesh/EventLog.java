package org.cuminlatch.node.mesh;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Locale;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One JSON line for each decision, within a budget of lines a second.
 *
 * <p>Lines beyond the budget are dropped and counted; the count is a line of its own. Safe for use
 * by many threads.
 */
public final class EventLog {

  /** Lines a second that one process may write. */
  private static final int LINES_PER_SECOND = 100;

  /** One successful call in this many is logged, the same one on every node. */
  private static final int SUCCESS_SAMPLE = 32;

  private static final Logger EVENTS = LogManager.getLogger("events");

  private final InstantSource clock;
  private final String node;
  private long second;
  private int linesInSecond;
  private long dropped;

  /**
   * Creates a log.
   *
   * @param clock clock of the node
   * @param node name of the node
   */
  public EventLog(InstantSource clock, String node) {
    this.clock = clock;
    this.node = node;
  }

  /**
   * Returns whether the success of a request is to be logged.
   *
   * @param requestId the request
   * @return the same on every node
   */
  static boolean samples(String requestId) {
    return Math.floorMod(requestId.hashCode(), SUCCESS_SAMPLE) == 0;
  }

  /**
   * Starts a line.
   *
   * @param event what happened
   * @return the line, to be ended with {@link Line#write}
   */
  public Line event(String event) {
    return new Line(event);
  }

  private synchronized boolean spend(Instant now) {
    if (now.getEpochSecond() != second) {
      if (dropped > 0) {
        EVENTS.warn(
            "{\"event\":\"log-lines-dropped\",\"node\":\""
                + node
                + "\",\"lines\":"
                + dropped
                + "}");
      }
      second = now.getEpochSecond();
      linesInSecond = 0;
      dropped = 0;
    }
    if (linesInSecond >= LINES_PER_SECOND) {
      dropped++;
      return false;
    }
    linesInSecond++;
    return true;
  }

  /** A line under construction. */
  public final class Line {

    private final Instant now = clock.instant();
    private final StringBuilder text = new StringBuilder(192);

    private Line(String event) {
      text.append("{\"time\":\"").append(now).append("\",\"node\":\"").append(node);
      text.append("\",\"event\":\"").append(event).append('"');
    }

    /**
     * Adds a text.
     *
     * @param key name of the field
     * @param value its value
     * @return this line
     */
    public Line with(String key, String value) {
      text.append(",\"").append(key).append("\":\"");
      JsonStringEncoder.getInstance().quoteAsString(value, text);
      text.append('"');
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
      text.append(",\"").append(key).append("\":").append(value);
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
      text.append(",\"").append(key).append("\":");
      text.append(String.format(Locale.ROOT, "%.3f", value));
      return this;
    }

    /** Writes the line if the budget allows. */
    public void write() {
      if (spend(now)) {
        EVENTS.info(text.append('}'));
      }
    }
  }
}
