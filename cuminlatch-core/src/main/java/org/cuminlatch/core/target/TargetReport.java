package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.Optional;

/**
 * Report of a target on its own state.
 *
 * @param instance name of the target's instance; most starts get a new one
 * @param bornMillis start time of the target in milliseconds since 1970; 0 if not reported
 * @param sequence sequence number of the report, increasing from the start of the target
 * @param service service that the target belongs to
 * @param version version of the target's software
 * @param slots number of requests that the target executes concurrently; at least 1
 * @param ready whether the target accepts new requests; false while it leaves
 * @param coldLeft remaining time for which the target is cold, that is slow as after its start;
 *     empty if the report does not say
 */
public record TargetReport(
    String instance,
    long bornMillis,
    long sequence,
    String service,
    String version,
    int slots,
    boolean ready,
    Optional<Duration> coldLeft) {

  /** Validates the components. */
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
   * Returns whether another report is from the same start of the same target.
   *
   * @param other the other report
   * @return true if instance and start time are equal
   */
  public boolean isOfSameStart(TargetReport other) {
    return instance.equals(other.instance) && bornMillis == other.bornMillis;
  }
}
