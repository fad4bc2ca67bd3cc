package org.cuminlatch.node.mesh;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.cuminlatch.core.membership.Member;

/**
 * Request limits that targets have named in the answers that passed through this entry node.
 *
 * <p>They go with the attempts to the gate of the target, whose process may have been restarted
 * since and have had no answer yet. Used on the traffic loop.
 */
final class NamedLimits {

  /** Maximum number of targets; those whose limits were named first are forgotten first. */
  private static final int MAX_TARGETS = 1024;

  private final Map<String, Named> byInstance = new LinkedHashMap<>();

  private record Named(long incarnation, double perSecond, Instant at) {}

  /**
   * Records an answer.
   *
   * @param target target that answered
   * @param perSecond limit that the answer names, empty if it names none
   * @param begunAt time at which the attempt began
   * @param now current time
   */
  void onAnswer(Member target, OptionalDouble perSecond, Instant begunAt, Instant now) {
    if (perSecond.isPresent()) {
      byInstance.put(
          target.instance(), new Named(target.incarnation(), perSecond.getAsDouble(), now));
      if (byInstance.size() > MAX_TARGETS) {
        byInstance.remove(byInstance.keySet().iterator().next());
      }
    } else if (!byInstance.isEmpty()) {
      // an answer to an earlier attempt may have been written before the target named the limit
      byInstance.computeIfPresent(
          target.instance(), (instance, named) -> begunAt.isAfter(named.at()) ? null : named);
    }
  }

  /** Returns the limit that a start of a target has named last. */
  OptionalDouble of(Member target) {
    Named named = byInstance.get(target.instance());
    return named != null && named.incarnation() == target.incarnation()
        ? OptionalDouble.of(named.perSecond())
        : OptionalDouble.empty();
  }
}
