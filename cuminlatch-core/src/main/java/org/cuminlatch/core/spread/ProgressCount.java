package org.cuminlatch.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.HashAbbreviation;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.spread.SpreadMessage.Progress;
import org.cuminlatch.core.spread.SpreadMessage.VersionCount;

/** Counts how many members of a subtree have which version in force, from the children's counts. */
final class ProgressCount {

  private static final Duration VALID_FOR = Duration.ofSeconds(16);
  private static final Duration DELAY = Duration.ofMillis(250);
  private static final Duration REFRESH = Duration.ofSeconds(5);
  private static final int MAX_VERSIONS = 6;

  private record Report(Progress progress, Instant at) {}

  private record Key(long version, String stateHash) {}

  private final String self;
  private final ConfigurationReplica replica;
  private final SpreadListener listener;
  private final Map<String, Report> reports = new HashMap<>();
  private VersionCount own;
  private List<VersionCount> sent = List.of();
  private Instant sentAt = Instant.EPOCH;
  private long reportedDivergence = -1;

  ProgressCount(String self, ConfigurationReplica replica, SpreadListener listener) {
    this.self = self;
    this.replica = replica;
    this.listener = listener;
  }

  void onProgress(Progress progress, Instant now) {
    reports.put(progress.instance(), new Report(progress, now));
  }

  /** Returns the report to the parent if the counts have changed or are to be refreshed. */
  Optional<Progress> due(List<Member> children, Instant now) {
    if (sentAt.plus(DELAY).isAfter(now)) {
      return Optional.empty();
    }
    List<VersionCount> counts = sum(children, now);
    boolean refresh = !sentAt.plus(REFRESH).isAfter(now);
    if (!refresh && counts.equals(sent)) {
      return Optional.empty();
    }
    sentAt = now;
    sent = counts;
    return Optional.of(new Progress(self, counts));
  }

  /** Returns on how many members of the region the reader's version is in force. */
  InForce inRegion(List<Member> children, int members, Instant now) {
    long version = replica.version();
    int have =
        sum(children, now).stream()
            .filter(count -> count.version() >= version)
            .mapToInt(VersionCount::count)
            .sum();
    return new InForce(version, have, members);
  }

  private VersionCount own() {
    if (own == null || own.version() != replica.version()) {
      String hash = replica.snapshot().stateHash();
      String abbreviated = HashAbbreviation.of(hash);
      own = new VersionCount(replica.version(), abbreviated, 1);
    }
    return own;
  }

  private void reportDivergence(List<VersionCount> counts) {
    for (int i = 1; i < counts.size(); i++) {
      VersionCount a = counts.get(i - 1);
      VersionCount b = counts.get(i);
      if (a.version() == b.version() && a.version() != reportedDivergence) {
        reportedDivergence = a.version();
        listener.onDivergence(a.version(), a.stateHash() + " and " + b.stateHash());
      }
    }
  }

  private List<VersionCount> sum(List<Member> children, Instant now) {
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
    counts.put(new Key(own().version(), own().stateHash()), 1);
    for (Report report : reports.values()) {
      report
          .progress()
          .counts()
          .forEach(c -> counts.merge(new Key(c.version(), c.stateHash()), c.count(), Integer::sum));
    }
    List<VersionCount> summed = new ArrayList<>();
    counts.forEach((key, n) -> summed.add(new VersionCount(key.version(), key.stateHash(), n)));
    reportDivergence(summed);
    return summed.size() <= MAX_VERSIONS ? summed : summed.subList(0, MAX_VERSIONS);
  }
}
