package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminlatch.core.move.CallCounts;
import org.cuminlatch.core.move.CallOutcome.Result;
import org.cuminlatch.core.move.LatencyBuckets;
import org.cuminlatch.wire.proto.call.EvidenceCount;

/** Counts of the calls that the local target has executed, by route. */
final class EvidenceCounts {

  private final Map<String, RouteCounts> routes = new HashMap<>();

  /**
   * Counts a call. Failures of a cold target count like any others; its latencies do not count.
   *
   * @param warm whether the cold start of the target is over
   */
  void add(String route, Result result, Duration took, boolean warm) {
    if (result == Result.NOT_RUN) {
      return;
    }
    RouteCounts counts = routes.computeIfAbsent(route, unused -> new RouteCounts());
    counts.calls++;
    if (result == Result.FAILURE) {
      counts.failures++;
    } else if (warm) {
      counts.latencies[LatencyBuckets.indexOf(took)]++;
    }
  }

  void clear() {
    routes.clear();
  }

  List<EvidenceCount> encode() {
    List<EvidenceCount> frames = new ArrayList<>();
    routes.forEach(
        (route, counts) ->
            frames.add(
                EvidenceCount.newBuilder()
                    .setRoute(route)
                    .setCalls(counts.calls)
                    .setFailures(counts.failures)
                    .addAllLatencies(counts.trimmedLatencies())
                    .build()));
    return frames;
  }

  static Map<String, CallCounts> decode(List<EvidenceCount> frames) {
    Map<String, CallCounts> counts = new HashMap<>();
    for (EvidenceCount frame : frames) {
      counts.put(
          frame.getRoute(),
          new CallCounts(
              frame.getCalls(),
              frame.getFailures(),
              frame.getColdCalls(),
              frame.getColdFailures(),
              frame.getLatenciesList()));
    }
    return counts;
  }

  /** Counts of one route. */
  private static final class RouteCounts {

    private final long[] latencies = new long[LatencyBuckets.COUNT];
    private long calls;
    private long failures;

    List<Long> trimmedLatencies() {
      int length = latencies.length;
      while (length > 0 && latencies[length - 1] == 0) {
        length--;
      }
      List<Long> trimmedLatencies = new ArrayList<>(length);
      for (int i = 0; i < length; i++) {
        trimmedLatencies.add(latencies[i]);
      }
      return trimmedLatencies;
    }
  }
}
