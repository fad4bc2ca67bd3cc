package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.cuminlatch.core.membership.Member;

/** Load, latency and failures of all targets, as observed by one node. Thread-safe. */
public final class TargetLoads {

  private final Map<String, TargetLoad> loads = new ConcurrentHashMap<>();
  private final LoadPolicy policy;

  /** Creates an empty collection with {@link LoadPolicy#EJECTION_ONLY}. */
  public TargetLoads() {
    this(LoadPolicy.EJECTION_ONLY);
  }

  /**
   * Creates an empty collection.
   *
   * @param policy weights of a target's age and failures
   */
  public TargetLoads(LoadPolicy policy) {
    this.policy = notNull(policy, "policy");
  }

  /**
   * Counts an attempt as outstanding.
   *
   * @param instance instance of the target
   * @param now current time
   */
  public void begin(String instance, Instant now) {
    of(instance, now).begin();
  }

  /**
   * Records the end of an attempt.
   *
   * @param instance instance of the target
   * @param end how the attempt ended
   * @param latency time since the attempt began
   * @param now current time
   */
  public void end(String instance, AttemptEnd end, Duration latency, Instant now) {
    notNull(end, "end");
    TargetLoad load = of(instance, now);
    load.end();
    if (end == AttemptEnd.SERVED) {
      load.recordAnswer(latency, now);
    } else if (end == AttemptEnd.FAILED) {
      load.recordFailure(now);
    } else if (end == AttemptEnd.UNREACHABLE) {
      load.recordUnreachable(now);
    }
  }

  /**
   * Records the load that a target's node reported.
   *
   * @param instance instance of the target
   * @param report the load
   * @param now current time
   */
  public void recordReport(String instance, ReportedLoad report, Instant now) {
    of(instance, now).recordReport(notNull(report, "report"), now);
  }

  /**
   * Removes targets that are no longer members.
   *
   * @param members the current members
   */
  public void retain(Collection<Member> members) {
    Set<String> instances = members.stream().map(Member::instance).collect(Collectors.toSet());
    loads.keySet().retainAll(instances);
  }

  TargetLoad of(String instance, Instant now) {
    TargetLoad load = loads.get(instance);
    return load != null
        ? load
        : loads.computeIfAbsent(instance, name -> new TargetLoad(now, policy));
  }

  /** How an attempt ended, with regard to the health of the target. */
  public enum AttemptEnd {
    /** The target answered without a failure. */
    SERVED,
    /** The target failed. */
    FAILED,
    /** The target's node could not be reached, not even on a new connection. */
    UNREACHABLE,
    /** The end allows no conclusion about the target, as with a refusal or a silent connection. */
    INCONCLUSIVE
  }
}
