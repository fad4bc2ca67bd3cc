package org.cuminlatch.core.route;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.membership.Member;

/** Leaves out targets that fail, but never more than a set share of them. */
final class OutlierEjection {

  static final double MOST_EJECTED = 0.34;

  private OutlierEjection() {}

  static List<Member> keep(List<Member> candidates, TargetLoads loads, Instant now) {
    List<Ejected> ejected = new ArrayList<>();
    for (Member member : candidates) {
      Optional<Instant> until = loads.of(member.instance(), now).ejectedUntil(now);
      until.ifPresent(time -> ejected.add(new Ejected(member.instance(), time)));
    }
    if (ejected.isEmpty()) {
      return candidates;
    }
    ejected.sort(Comparator.comparing(Ejected::until).reversed());
    int most = (int) (candidates.size() * MOST_EJECTED);
    Set<String> out = new HashSet<>();
    ejected.stream().limit(most).forEach(target -> out.add(target.instance()));
    return candidates.stream().filter(member -> !out.contains(member.instance())).toList();
  }

  private record Ejected(String instance, Instant until) {}
}
