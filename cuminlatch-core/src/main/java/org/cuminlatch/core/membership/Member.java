package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Set;

/**
 * What an instance has announced of itself, or what others have found out about it.
 *
 * @param instance unique name of the instance
 * @param incarnation number that only the instance itself raises; the higher one stands
 * @param status whether it is believed to be alive
 * @param controlAddress where it takes control messages, by UDP and TCP on the same port
 * @param callAddress where it takes forwarded calls, by TCP
 * @param locality where it stands
 * @param service service of its target
 * @param targetVersion target version of its target
 * @param slots requests that its target takes at a time
 * @param phase what its target is ready for
 * @param schemaVersions schema versions that it understands
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
   * @return true if it is not believed dead and its target serves
   */
  public boolean takesCalls() {
    return status != Status.DEAD && phase == Phase.SERVING;
  }

  /** What the others believe about an instance. */
  public enum Status {
    /** It answers. */
    ALIVE,
    /** It has not answered for a while and may refute this. */
    SUSPECT,
    /** It did not refute the suspicion, or it has left. */
    DEAD
  }

  /** What an instance's target is ready for. */
  public enum Phase {
    /** The target or its node is not ready. */
    STARTING,
    /** The target takes calls. */
    SERVING,
    /** The target finishes the calls it has and takes no new ones. */
    DRAINING,
    /** The instance has left for good. */
    LEFT
  }
}
