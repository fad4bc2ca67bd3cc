package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Set;

/**
 * Facts about an instance: those that it has announced, and its status as other members see it.
 *
 * @param instance unique name of the instance
 * @param incarnation number that only the instance itself increments; facts with a higher one take
 *     precedence
 * @param status liveness as seen by the failure detection
 * @param controlAddress address for control messages, by UDP and TCP on the same port
 * @param callAddress address for forwarded calls, by TCP
 * @param locality its region and availability zone
 * @param service service of its target
 * @param targetVersion target version of its target
 * @param slots number of requests that its target processes concurrently
 * @param phase lifecycle phase of its target
 * @param schemaVersions schema versions that it can read
 * @param configVersion configuration version that it has in force
 * @param stateHash hash of that configuration
 */
public record Member(
    String instance,
    long incarnation,
    Status status,
    Address controlAddress,
    Address callAddress,
    Locality locality,
    String service,
    String targetVersion,
    int slots,
    Phase phase,
    Set<Integer> schemaVersions,
    long configVersion,
    String stateHash) {

  /** Checks the fields and copies the schema versions. */
  public Member {
    notBlank(instance, "instance");
    notNegative(incarnation, "incarnation");
    notNull(status, "status");
    notNull(controlAddress, "controlAddress");
    notNull(callAddress, "callAddress");
    notNull(locality, "locality");
    notBlank(service, "service");
    notBlank(targetVersion, "targetVersion");
    notNegative(slots, "slots");
    notNull(phase, "phase");
    schemaVersions = Set.copyOf(notNull(schemaVersions, "schemaVersions"));
    notNegative(configVersion, "configVersion");
    notNull(stateHash, "stateHash");
  }

  /**
   * Returns whether new calls may be sent to the member's target.
   *
   * @return true if its status is not dead and its target is serving
   */
  public boolean acceptsCalls() {
    return status != Status.DEAD && phase == Phase.SERVING;
  }

  /** Liveness of an instance, as seen by the failure detection. */
  public enum Status {
    /** It answers probes. */
    ALIVE,
    /** It did not answer a probe and can still refute the suspicion. */
    SUSPECT,
    /** It did not refute the suspicion, or it has left. */
    DEAD
  }

  /** Lifecycle phase of an instance's target. */
  public enum Phase {
    /** The target or its node is not ready. */
    STARTING,
    /** The target accepts calls. */
    SERVING,
    /** The target completes its current calls and accepts no new ones. */
    DRAINING,
    /** The instance has left the mesh permanently. */
    LEFT
  }
}
