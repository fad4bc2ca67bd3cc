package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.notBlank;

/**
 * Location of an instance: its region and availability zone.
 *
 * @param region name of the region
 * @param zone name of the availability zone within the region
 */
public record Locality(String region, String zone) {

  /** Checks the fields. */
  public Locality {
    notBlank(region, "region");
    notBlank(zone, "zone");
  }

  /**
   * Returns the distance to another location.
   *
   * @param other the other location
   * @return the distance
   */
  public Distance distanceTo(Locality other) {
    if (!region.equals(other.region)) {
      return Distance.OTHER_REGION;
    }
    return zone.equals(other.zone) ? Distance.SAME_ZONE : Distance.SAME_REGION;
  }

  /** Distances between two locations, nearest first. */
  public enum Distance {
    /** Both are in the same availability zone. */
    SAME_ZONE,
    /** Both are in the same region but in different availability zones. */
    SAME_REGION,
    /** They are in different regions. */
    OTHER_REGION
  }
}
