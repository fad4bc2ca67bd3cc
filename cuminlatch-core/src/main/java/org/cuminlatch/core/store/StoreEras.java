package org.cuminlatch.core.store;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;

/**
 * Era of the store as a node knows it, and which records the store may have lost.
 *
 * <p>The store increments its era when it returns from an older copy of its data. What it has lost
 * was written after the copy was made. A node rarely learns of the return at once, but it knows
 * until when the store was still in the earlier era: what had been stored long before that time is
 * in the copy. Not thread-safe.
 */
public final class StoreEras {

  /** Era of a store that names none. */
  public static final long NO_ERA = 0;

  /**
   * Maximum age of the copy for records that nobody else writes again. The copy is some seconds
   * old. A node may take the store for reachable for up to 18 s after its loss: 6 s until a reader
   * says that it has lost it, 6 s until the nodes that read in its place do, 6 s until a silent
   * connection to them is noticed. A minute leaves 42 s for the copy in this worst case, at few
   * writes, as such records are rare.
   */
  public static final Duration MAX_COPY_AGE = Duration.ofSeconds(60);

  /**
   * Age of the copy for records that each node writes at its start, and whose loss is made up for
   * otherwise: a node announces its address on each connection and stores it at its next start, a
   * target reports again within seconds. All nodes may have started within the last minute, and the
   * calls of a whole fleet cost more than the rare loss. A store that is away for 8 s and noticed 2
   * s after its return leaves 10 s for the copy.
   */
  public static final Duration USUAL_COPY_AGE = Duration.ofSeconds(20);

  /**
   * Time in which the operator writes again what the store has lost, from the moment at which a
   * node learns of the return.
   */
  public static final Duration OPERATOR_REWRITE_PERIOD = Duration.ofSeconds(30);

  private long era = NO_ERA;
  private Instant contactAt = Instant.MIN;
  private Instant lastContactBefore = Instant.MIN;
  private Instant changedAt = Instant.MIN;

  /** Creates the state of a node that does not know the era. */
  public StoreEras() {}

  /**
   * Records the era that a response of the store has named.
   *
   * @param named the era; an earlier one than the known era is ignored
   * @param now current time
   * @return whether the store has returned from an older copy since this node knew its era
   */
  public boolean record(long named, Instant now) {
    boolean returned = recordTold(named, now);
    if (named == era) {
      contactAt = now;
    }
    return returned;
  }

  /**
   * Records the era that another node has named, which may have learned of it long ago.
   *
   * @param named the era; an earlier one than the known era is ignored
   * @param now current time
   * @return whether the store has returned from an older copy since this node knew its era
   */
  public boolean recordTold(long named, Instant now) {
    notNegative(named, "named");
    notNull(now, "now");
    if (named <= era) {
      return false;
    }
    boolean returned = era != NO_ERA;
    if (returned) {
      lastContactBefore = contactAt;
      changedAt = now;
    }
    era = named;
    return returned;
  }

  /**
   * Records that the store, as far as this node or a connected one can see, is in the known era.
   *
   * @param now current time
   */
  public void recordContact(Instant now) {
    contactAt = notNull(now, "now");
  }

  /**
   * Returns the latest known era.
   *
   * @return the era, {@link #NO_ERA} if none is known
   */
  public long latest() {
    return era;
  }

  /**
   * Returns whether the store may have lost a record in a return that this node knows of.
   *
   * @param mark when the record was stored
   * @param copyAge maximum age of the copy
   * @return true if the record is of an earlier era and may be newer than the copy
   */
  public boolean mayBeLost(StoredMark mark, Duration copyAge) {
    return mark.era() < era
        && !changedAt.equals(Instant.MIN)
        && mark.at().plus(copyAge).isAfter(lastContactBefore);
  }

  /**
   * Returns whether the latest change of era was within a period.
   *
   * @param period the period
   * @param now current time
   * @return true if this node has learned of a change and the period has not passed since
   */
  public boolean hasChangedWithin(Duration period, Instant now) {
    return !changedAt.equals(Instant.MIN) && now.isBefore(changedAt.plus(period));
  }
}
