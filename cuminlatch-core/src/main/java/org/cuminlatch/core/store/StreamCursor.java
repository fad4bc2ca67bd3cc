package org.cuminlatch.core.store;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.OptionalLong;

/**
 * Position of a reader that follows a stream of the store, and the check whether the stream is
 * still the one that it has read so far.
 *
 * <p>When the store returns from an older copy, offsets go back and are assigned again, so that a
 * read from the old position could miss records. The reader then starts again with the newest
 * records. Not thread-safe.
 */
public final class StreamCursor {

  private OptionalLong next = OptionalLong.empty();
  private OptionalLong era = OptionalLong.empty();

  /** Creates the cursor of a reader that has read nothing. */
  public StreamCursor() {}

  /**
   * Returns the offset from which to read.
   *
   * @return the offset; empty if the newest records must be read
   */
  public OptionalLong next() {
    return next;
  }

  /** Forgets the position, so that the newest records are read next. */
  public void reset() {
    next = OptionalLong.empty();
  }

  /**
   * Applies the response to a read of the newest records.
   *
   * @param pageEra era that the response names, empty if it names none
   * @param end offset from which to continue
   */
  public void onNewest(OptionalLong pageEra, long end) {
    era = notNull(pageEra, "pageEra");
    next = OptionalLong.of(end);
  }

  /**
   * Applies the response to a read from an offset.
   *
   * @param pageEra era that the response names, empty if it names none
   * @param from offset from which was read
   * @param end offset from which to continue
   * @param streamEnd end of the stream
   * @return whether the records continue those read before; if not, they must be dropped and the
   *     newest records be read
   */
  public boolean onFollowed(OptionalLong pageEra, long from, long end, long streamEnd) {
    notNull(pageEra, "pageEra");
    boolean sameEra = pageEra.isEmpty() || era.isEmpty() || pageEra.equals(era);
    if (next.isEmpty() || !sameEra || streamEnd < from) {
      reset();
      return false;
    }
    era = pageEra.isPresent() ? pageEra : era;
    next = OptionalLong.of(Math.max(next.getAsLong(), end));
    return true;
  }
}
