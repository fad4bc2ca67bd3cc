package org.cuminlatch.testkit.observe;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks over many samples that no node goes back, that equal versions are equal and that new
 * versions reach every node.
 *
 * <p>Samples of nodes that are not ready are left out: they serve nothing.
 */
public final class ConfigurationWatch {

  private final Map<String, Long> highest = new HashMap<>();
  private final Map<Long, String> hashes = new HashMap<>();
  private final TreeMap<Long, Duration> firstSeen = new TreeMap<>();
  private final List<Duration> convergence = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private long samples;

  /**
   * Takes the samples of one round over all nodes.
   *
   * @param round one sample per node that answered
   */
  public void takeRound(List<NodeSample> round) {
    List<NodeSample> ready = notNull(round, "round").stream().filter(NodeSample::ready).toList();
    ready.forEach(this::take);
    ready.stream().mapToLong(NodeSample::configVersion).min().ifPresent(low -> settle(low, ready));
  }

  /**
   * Returns how many samples of ready nodes were checked.
   *
   * @return the count
   */
  public long samples() {
    return samples;
  }

  /**
   * Returns what was violated, one line each.
   *
   * @return the violations, empty if none
   */
  public List<String> violations() {
    return List.copyOf(violations);
  }

  /**
   * Returns how long each new version took from its first sight on a node to all ready nodes.
   *
   * @return the times, in the order of the versions
   */
  public List<Duration> convergence() {
    return List.copyOf(convergence);
  }

  /**
   * Returns the versions that have not reached every ready node.
   *
   * @return how many
   */
  public int unsettled() {
    return firstSeen.size();
  }

  private void take(NodeSample sample) {
    samples++;
    checkNotBack(sample);
    checkSameHash(sample);
    if (sample.danglingRoutes() > 0) {
      violations.add(sample.instance() + " has routes without their service: " + sample);
    }
  }

  private void checkNotBack(NodeSample sample) {
    long before = highest.getOrDefault(sample.instance(), 0L);
    if (sample.configVersion() < before) {
      violations.add(sample.instance() + " went back from version " + before + ": " + sample);
    }
    if (sample.configVersion() > highest.values().stream().mapToLong(v -> v).max().orElse(0)) {
      firstSeen.put(sample.configVersion(), sample.at());
    }
    highest.put(sample.instance(), Math.max(before, sample.configVersion()));
  }

  private void checkSameHash(NodeSample sample) {
    String known = hashes.putIfAbsent(sample.configVersion(), sample.stateHash());
    if (known != null && !known.equals(sample.stateHash())) {
      violations.add(sample.instance() + " differs at one version: " + sample);
    }
  }

  private void settle(long lowest, List<NodeSample> ready) {
    Duration now = ready.get(ready.size() - 1).at();
    Map<Long, Duration> settled = firstSeen.headMap(lowest, true);
    settled.values().forEach(seen -> convergence.add(now.minus(seen)));
    settled.clear();
  }
}
