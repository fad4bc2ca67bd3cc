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

/**
 * Aggregates the number of members of a subtree that have each version in force, from the counts
 * that the children report.
 */
final class ProgressAggregator {

  private static final Duration REPORT_LIFETIME = Duration.ofSeconds(16);
  private static final Duration MIN_REPORT_INTERVAL = Duration.ofMillis(250);
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(5);
  private static final int MAX_REPORTED_VERSIONS = 6;

  private record ChildReport(Progress progress, Instant receivedAt) {}

  private record Key(long version, String stateHash) {}

  private final String self;
  private final ConfigurationReplica replica;
  private final SpreadListener listener;
  private final Map<String, ChildReport> childReports = new HashMap<>();
  private VersionCount ownCount;
  private List<VersionCount> sentCounts = List.of();
  private Instant sentAt = Instant.EPOCH;
  private long reportedDivergenceVersion = -1;

  ProgressAggregator(String self, ConfigurationReplica replica, SpreadListener listener) {
    this.self = self;
    this.replica = replica;
    this.listener = listener;
  }

  void onProgress(Progress progress, Instant now) {
    childReports.put(progress.instance(), new ChildReport(progress, now));
  }

  /** Returns a report for the parent if the counts have changed or their refresh is due. */
  Optional<Progress> nextReport(List<Member> children, Instant now) {
    if (sentAt.plus(MIN_REPORT_INTERVAL).isAfter(now)) {
      return Optional.empty();
    }
    List<VersionCount> counts = sum(children, now);
    boolean refreshDue = !sentAt.plus(REFRESH_INTERVAL).isAfter(now);
    if (!refreshDue && counts.equals(sentCounts)) {
      return Optional.empty();
    }
    sentAt = now;
    sentCounts = counts;
    return Optional.of(new Progress(self, counts));
  }

  /** Returns the number of members of the region that have the version of the reader in force. */
  InForce inRegion(List<Member> children, int members, Instant now) {
    long version = replica.version();
    int countInForce =
        sum(children, now).stream()
            .filter(count -> count.version() >= version)
            .mapToInt(VersionCount::count)
            .sum();
    return new InForce(version, countInForce, members);
  }

  private VersionCount ownCount() {
    if (ownCount == null || ownCount.version() != replica.version()) {
      String hash = replica.snapshot().stateHash();
      String abbreviated = HashAbbreviation.of(hash);
      ownCount = new VersionCount(replica.version(), abbreviated, 1);
    }
    return ownCount;
  }

  private void reportDivergence(List<VersionCount> counts) {
    for (int i = 1; i < counts.size(); i++) {
      VersionCount previous = counts.get(i - 1);
      VersionCount next = counts.get(i);
      if (previous.version() == next.version() && previous.version() != reportedDivergenceVersion) {
        reportedDivergenceVersion = previous.version();
        listener.onDivergence(
            previous.version(), previous.stateHash() + " and " + next.stateHash());
      }
    }
  }

  private List<VersionCount> sum(List<Member> children, Instant now) {
    Set<String> currentChildren =
        children.stream().map(Member::instance).collect(Collectors.toSet());
    childReports
        .values()
        .removeIf(
            report ->
                report.receivedAt().plus(REPORT_LIFETIME).isBefore(now)
                    || !currentChildren.contains(report.progress().instance()));
    TreeMap<Key, Integer> counts =
        new TreeMap<>(
            (left, right) ->
                left.version() != right.version()
                    ? Long.compare(right.version(), left.version())
                    : left.stateHash().compareTo(right.stateHash()));
    counts.put(new Key(ownCount().version(), ownCount().stateHash()), 1);
    for (ChildReport report : childReports.values()) {
      report
          .progress()
          .counts()
          .forEach(c -> counts.merge(new Key(c.version(), c.stateHash()), c.count(), Integer::sum));
    }
    List<VersionCount> summed = new ArrayList<>();
    counts.forEach((key, n) -> summed.add(new VersionCount(key.version(), key.stateHash(), n)));
    reportDivergence(summed);
    return summed.size() <= MAX_REPORTED_VERSIONS
        ? summed
        : summed.subList(0, MAX_REPORTED_VERSIONS);
  }
}
