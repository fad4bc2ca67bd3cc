package org.cuminlatch.core.store;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;

/**
 * When and in which era of the store a node has learned that the store holds a record.
 *
 * @param at time at which it learned this, not earlier than the write
 * @param era era of the response that said so, {@link StoreEras#NO_ERA} if it named none
 */
public record StoredMark(Instant at, long era) {

  /** Checks the fields. */
  public StoredMark {
    notNull(at, "at");
    notNegative(era, "era");
  }
}
