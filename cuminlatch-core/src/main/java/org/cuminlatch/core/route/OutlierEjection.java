package org.cuminlatch.core.route;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.membership.Member;

/** Excludes failing targets from load balancing, up to a maximum share of all candidates. */
final class OutlierEjection {

  static final double MAX_EJECTED_SHARE = 0.34;

  private OutlierEjection() {}

  static List<Member> withoutEjected(List<Member> candidates, TargetLoads loads, Instant now) {
    List<Ejected> ejected = new ArrayList<>();
    for (Member member : candidates) {
      Optional<Instant> until = loads.of(member.instance(), now).ejectedUntil(now);
      until.ifPresent(time -> ejected.add(new Ejected(member.instance(), time)));
    }
    if (ejected.isEmpty()) {
      return candidates;
    }
    ejected.sort(Comparator.comparing(Ejected::until).reversed());
    int maxEjected = (int) (candidates.size() * MAX_EJECTED_SHARE);
    Set<String> ejectedInstances = new HashSet<>();
    ejected.stream().limit(maxEjected).forEach(target -> ejectedInstances.add(target.instance()));
    return candidates.stream()
        .filter(member -> !ejectedInstances.contains(member.instance()))
        .toList();
  }

  private record Ejected(String instance, Instant until) {}
}
