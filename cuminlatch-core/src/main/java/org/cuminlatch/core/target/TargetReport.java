package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * A target's report of itself.
 *
 * @param instance name of the target, new with most starts
 * @param bornMillis start of the target in milliseconds since 1970, 0 if it names none
 * @param sequence number of the report, rising from the start of the target on
 * @param service service that the target belongs to
 * @param version version of its software
 * @param slots requests that it executes at a time
 * @param ready whether it takes new requests; false while it leaves
 * @param coldLeft time for which it is still slow after its start
 */
public record TargetReport(
    String instance,
    long bornMillis,
    long sequence,
    String service,
    String version,
    int slots,
    boolean ready,
    Duration coldLeft) {

  /** Checks the fields. */
  public TargetReport {
    notBlank(instance, "instance");
    notNegative(bornMillis, "bornMillis");
    notNegative(sequence, "sequence");
    notBlank(service, "service");
    notBlank(version, "version");
    check(slots >= 1, "slots", "must be at least 1");
    notNull(coldLeft, "coldLeft");
  }

  /**
   * Returns whether another report is of the same start of the same target.
   *
   * @param other the other report
   * @return true if name and start are equal
   */
  public boolean isOfSameStart(TargetReport other) {
    return instance.equals(other.instance) && bornMillis == other.bornMillis;
  }
}
