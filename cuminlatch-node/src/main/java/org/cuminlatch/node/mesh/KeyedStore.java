package org.cuminlatch.node.mesh;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;
import org.cuminlatch.core.store.StoreEras;

/**
 * Client of the platform's store: streams of records that retain the newest record of each key.
 *
 * <p>Calls never block. They fail with a {@link org.cuminlatch.core.error.CuminlatchException}:
 * {@code LOG_UNAVAILABLE} if the outcome of the call is unknown, {@code LOG_RATE_LIMITED}, {@code
 * LOG_TRUNCATED} if requested records are no longer retained, {@code RECORD_REFUSED} if a condition
 * did not hold.
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
   * Reads the records from an offset on, and waits for one if there is none.
   *
   * @param stream the stream
   * @param from offset of the first record to read
   * @param maxWait time after which the wait ends
   * @return the records, none if the time has passed
   */
  CompletionStage<Page> follow(Stream stream, long from, Duration maxWait);

  /**
   * Appends a record.
   *
   * @param stream the stream
   * @param key key of the record
   * @param value value of the record; an empty one deletes the key
   * @param expectedEnd offset at which the stream must end, empty for no condition
   * @return the offset after the record
   */
  CompletionStage<Appended> append(
      Stream stream, String key, byte[] value, OptionalLong expectedEnd);

  /**
   * Sets the listener for the era that responses name. It is called on the control loop before the
   * result of the call completes, also if the call fails. A store that names no era never calls it.
   *
   * @param listener receives the era each time that it differs from the one that was named before
   */
  default void listenForEra(LongConsumer listener) {}

  /** Streams that a node uses. */
  enum Stream {
    /** Configurations and orders of operators. */
    OPERATOR,
    /** Statements of the mesh on moves, for operators. */
    STATEMENTS,
    /** Addresses of nodes. */
    NODES,
    /** Status of each node's local target, for the restart of the node. */
    OWN_TARGETS
  }

  /**
   * A record of a stream.
   *
   * @param key key of the record
   * @param value value of the record, empty if the key was deleted
   * @param offset offset of the record in the stream
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
   * Result of an append.
   *
   * @param end offset after the record
   * @param era era of the store, which it increments when it returns from an older copy of its
   *     data; empty if it names none
   */
  record Appended(long end, OptionalLong era) {

    /** Checks the fields. */
    public Appended {
      notNegative(end, "end");
      notNull(era, "era");
    }
  }

  /**
   * Records that were read from a stream.
   *
   * @param items the records
   * @param end offset from which to continue
   * @param streamEnd offset at which the stream ended; greater than {@code end} if there are more
   *     records
   * @param era era of the store, empty if it names none
   */
  record Page(List<Item> items, long end, long streamEnd, OptionalLong era) {

    /** Checks the fields and copies the list. */
    public Page {
      items = List.copyOf(notNull(items, "items"));
      notNegative(end, "end");
      notNegative(streamEnd, "streamEnd");
      notNull(era, "era");
    }

    /** Returns the era, {@link StoreEras#NO_ERA} if the store names none. */
    long eraOrNone() {
      return era.orElse(StoreEras.NO_ERA);
    }

    /** Returns whether the stream had no records behind those that were read. */
    boolean isComplete() {
      return end >= streamEnd;
    }
  }
}
