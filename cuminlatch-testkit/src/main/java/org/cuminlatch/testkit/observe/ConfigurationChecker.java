package org.cuminlatch.testkit.observe;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks samples of the nodes' configuration for three invariants: the version of a node never
 * decreases, nodes at the same version have the same state, and each new version reaches every
 * node.
 *
 * <p>Samples of nodes that are not ready are ignored, as these nodes serve no requests.
 */
public final class ConfigurationChecker {

  private final Map<String, Long> highestVersions = new HashMap<>();
  private final Map<Long, String> stateHashes = new HashMap<>();
  private final TreeMap<Long, Duration> firstSeen = new TreeMap<>();
  private final List<Duration> convergenceTimes = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private long samples;

  /**
   * Checks the samples of one polling round over all nodes.
   *
   * @param round one sample per node that answered
   */
  public void checkRound(List<NodeSample> round) {
    List<NodeSample> ready = notNull(round, "round").stream().filter(NodeSample::ready).toList();
    ready.forEach(this::check);
    ready.stream()
        .mapToLong(NodeSample::configVersion)
        .min()
        .ifPresent(lowest -> settle(lowest, ready));
  }

  /**
   * Returns the number of samples of ready nodes that were checked.
   *
   * @return the count
   */
  public long samples() {
    return samples;
  }

  /**
   * Returns the violations, one line each.
   *
   * @return the violations, empty if there are none
   */
  public List<String> violations() {
    return List.copyOf(violations);
  }

  /**
   * Returns the time each new version took from its first observation on any node until all ready
   * nodes had it.
   *
   * @return the times in the order of the versions
   */
  public List<Duration> convergenceTimes() {
    return List.copyOf(convergenceTimes);
  }

  /**
   * Returns the number of versions that have not reached every ready node.
   *
   * @return the number of versions
   */
  public int unsettledVersions() {
    return firstSeen.size();
  }

  private void check(NodeSample sample) {
    samples++;
    checkVersionNotDecreased(sample);
    checkSameStateHash(sample);
    if (sample.danglingRoutes() > 0) {
      violations.add(sample.instance() + " has routes whose service is missing: " + sample);
    }
  }

  private void checkVersionNotDecreased(NodeSample sample) {
    long previous = highestVersions.getOrDefault(sample.instance(), 0L);
    if (sample.configVersion() < previous) {
      violations.add(sample.instance() + " reverted from version " + previous + ": " + sample);
    }
    if (sample.configVersion()
        > highestVersions.values().stream().mapToLong(v -> v).max().orElse(0)) {
      firstSeen.put(sample.configVersion(), sample.at());
    }
    highestVersions.put(sample.instance(), Math.max(previous, sample.configVersion()));
  }

  private void checkSameStateHash(NodeSample sample) {
    String existing = stateHashes.putIfAbsent(sample.configVersion(), sample.stateHash());
    if (existing != null && !existing.equals(sample.stateHash())) {
      violations.add(sample.instance() + " has a different state at the same version: " + sample);
    }
  }

  private void settle(long lowest, List<NodeSample> ready) {
    Duration now = ready.get(ready.size() - 1).at();
    Map<Long, Duration> settled = firstSeen.headMap(lowest, true);
    settled.values().forEach(firstSeenAt -> convergenceTimes.add(now.minus(firstSeenAt)));
    settled.clear();
  }
}
