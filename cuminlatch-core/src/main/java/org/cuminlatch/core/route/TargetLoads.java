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

/** What one node has learned of the targets from its own attempts; safe for use by many threads. */
public final class TargetLoads {

  private final Map<String, TargetLoad> loads = new ConcurrentHashMap<>();
  private final LoadPolicy policy;

  /** Creates the knowledge of nothing, by which failures count by ejection only. */
  public TargetLoads() {
    this(LoadPolicy.EJECTION_ONLY);
  }

  /**
   * Creates the knowledge of nothing.
   *
   * @param policy how it weighs
   */
  public TargetLoads(LoadPolicy policy) {
    this.policy = notNull(policy, "policy");
  }

  /**
   * Counts an attempt as outstanding.
   *
   * @param instance instance of the target
   * @param now present time
   */
  public void begin(String instance, Instant now) {
    of(instance, now).begin();
  }

  /**
   * Takes the end of an attempt.
   *
   * @param instance instance of the target
   * @param end how the attempt ended
   * @param latency time since it was begun
   * @param now present time
   */
  public void end(String instance, AttemptEnd end, Duration latency, Instant now) {
    notNull(end, "end");
    TargetLoad load = of(instance, now);
    load.end();
    if (end == AttemptEnd.SERVED) {
      load.answered(latency, now);
    } else if (end == AttemptEnd.FAILED) {
      load.failed(now);
    } else if (end == AttemptEnd.UNREACHABLE) {
      load.unreachable(now);
    }
  }

  /**
   * Takes a load that a target's node reported.
   *
   * @param instance instance of the target
   * @param report the load
   * @param now present time
   */
  public void reported(String instance, ReportedLoad report, Instant now) {
    of(instance, now).reported(notNull(report, "report"), now);
  }

  /**
   * Forgets targets that are no longer members.
   *
   * @param members the members that remain
   */
  public void retain(Collection<Member> members) {
    Set<String> known = members.stream().map(Member::instance).collect(Collectors.toSet());
    loads.keySet().retainAll(known);
  }

  TargetLoad of(String instance, Instant now) {
    TargetLoad load = loads.get(instance);
    return load != null
        ? load
        : loads.computeIfAbsent(instance, name -> new TargetLoad(now, policy));
  }

  /** What the end of an attempt says about the target. */
  public enum AttemptEnd {
    /** It answered, and not with a failure. */
    SERVED,
    /** It failed. */
    FAILED,
    /** Its node could not be reached, not even on a fresh connection. */
    UNREACHABLE,
    /** Nothing, as with a refusal or a silent connection. */
    NO_BLAME
  }
}
