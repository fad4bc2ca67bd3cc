package org.cuminlatch.core.evacuation;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;

/**
 * State of an availability zone by a record of operators.
 *
 * @param zone name of the zone
 * @param evacuated whether the zone is evacuated; if not, it was returned to service
 * @param era era of the store, which it increments when it returns from an older copy of its data
 * @param end end of the operators' stream directly after the record, or at which the stream held no
 *     record on the zone
 */
public record ZoneState(String zone, boolean evacuated, long era, long end) {

  /** Validates the components. */
  public ZoneState {
    notBlank(zone, "zone");
    notNegative(era, "era");
    notNegative(end, "end");
  }

  /**
   * Returns whether this state replaces another one of the same zone.
   *
   * @param other the other state
   * @return true if this state is of a later era, or of the same era and from a later record
   */
  public boolean isLaterThan(ZoneState other) {
    return era != other.era ? era > other.era : end > other.end;
  }
}
