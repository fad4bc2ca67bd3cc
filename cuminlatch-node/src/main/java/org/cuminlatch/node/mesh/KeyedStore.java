package org.cuminlatch.node.mesh;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/**
 * The platform's store as streams of which the newest record of each key is retained.
 *
 * <p>Calls never block. They fail with a {@link org.cuminlatch.core.error.CuminlatchException}:
 * {@code LOG_UNAVAILABLE} if nothing is known of the call, {@code LOG_RATE_LIMITED}, {@code
 * LOG_TRUNCATED} if records asked for are gone, {@code RECORD_REFUSED} if a condition did not hold.
 */
public interface KeyedStore {

  /**
   * Reads the newest record of each key.
   *
   * @param stream the stream
   * @return the records, and the offset after the last one
   */
  CompletionStage<Page> newest(Stream stream);

  /**
   * Waits for records.
   *
   * @param stream the stream
   * @param from offset of the first record wanted
   * @param wait longest time to wait
   * @return the records from there on, none if the time passed
   */
  CompletionStage<Page> follow(Stream stream, long from, Duration wait);

  /**
   * Appends a record.
   *
   * @param stream the stream
   * @param key key of the record
   * @param value its value; an empty one drops the key
   * @param expectedEnd offset that the stream must end at, empty for any
   * @return the offset after the record
   */
  CompletionStage<Long> append(Stream stream, String key, byte[] value, OptionalLong expectedEnd);

  /** Streams that a node uses. */
  enum Stream {
    /** Configurations and orders of operators. */
    OPERATOR,
    /** What the mesh states of moves, for operators. */
    STATEMENTS,
    /** Addresses of nodes. */
    NODES,
    /** What each node knows of the target beside it, for its own restart. */
    OWN_TARGETS
  }

  /**
   * A record.
   *
   * @param key its key
   * @param value its value, empty if the key was dropped
   * @param offset its place in the stream
   */
  record Item(String key, byte[] value, long offset) {

    /** Checks the fields. */
    public Item {
      notNull(key, "key");
      notNull(value, "value");
      notNegative(offset, "offset");
    }
  }

  /**
   * Records of a stream.
   *
   * @param items the records
   * @param end offset to go on from
   */
  record Page(List<Item> items, long end) {

    /** Checks the fields and copies the list. */
    public Page {
      items = List.copyOf(notNull(items, "items"));
      notNegative(end, "end");
    }
  }
}
