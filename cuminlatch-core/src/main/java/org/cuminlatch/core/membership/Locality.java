package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.notBlank;

/**
 * Place of an instance.
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
   * Returns how far another place is.
   *
   * @param other the other place
   * @return the distance
   */
  public Distance distanceTo(Locality other) {
    if (!region.equals(other.region)) {
      return Distance.OTHER_REGION;
    }
    return zone.equals(other.zone) ? Distance.SAME_ZONE : Distance.SAME_REGION;
  }

  /** Distances between two places, nearest first. */
  public enum Distance {
    /** Both stand in one availability zone. */
    SAME_ZONE,
    /** Both stand in one region but in different availability zones. */
    SAME_REGION,
    /** They stand in different regions. */
    OTHER_REGION
  }
}
