package org.cuminlatch.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.spread.SpreadMessage.Progress;
import org.cuminlatch.core.spread.SpreadMessage.VersionCount;

/** Counts how many members of a subtree have which version in force, from the children's counts. */
final class ProgressCount {

  private static final Duration VALID_FOR = Duration.ofSeconds(16);
  private static final int MAX_VERSIONS = 6;

  private record Report(Progress progress, Instant at) {}

  private record Key(long version, String stateHash) {}

  private final Map<String, Report> reports = new HashMap<>();

  void onProgress(Progress progress, Instant now) {
    reports.put(progress.instance(), new Report(progress, now));
  }

  /** Returns the counts of the subtree, the newest versions first, few of them. */
  List<VersionCount> sum(VersionCount own, List<Member> children, Instant now) {
    Set<String> current = children.stream().map(Member::instance).collect(Collectors.toSet());
    reports
        .values()
        .removeIf(
            report ->
                report.at().plus(VALID_FOR).isBefore(now)
                    || !current.contains(report.progress().instance()));
    TreeMap<Key, Integer> counts =
        new TreeMap<>(
            (a, b) ->
                a.version() != b.version()
                    ? Long.compare(b.version(), a.version())
                    : a.stateHash().compareTo(b.stateHash()));
    counts.put(new Key(own.version(), own.stateHash()), own.count());
    for (Report report : reports.values()) {
      report
          .progress()
          .counts()
          .forEach(c -> counts.merge(new Key(c.version(), c.stateHash()), c.count(), Integer::sum));
    }
    List<VersionCount> summed = new ArrayList<>();
    counts.forEach((key, n) -> summed.add(new VersionCount(key.version(), key.stateHash(), n)));
    return summed.size() <= MAX_VERSIONS ? summed : summed.subList(0, MAX_VERSIONS);
  }
}
