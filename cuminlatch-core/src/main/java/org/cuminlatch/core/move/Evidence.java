package org.cuminlatch.core.move;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import org.cuminlatch.core.move.EvidenceRow.Side;

/**
 * Cumulative counts of a move's calls by route and side.
 *
 * @param routes counts of both sides by the name of the route
 */
public record Evidence(Map<String, RouteEvidence> routes) {

  /** Evidence of no calls. */
  public static final Evidence NONE = new Evidence(Map.of());

  /** Copies the map, sorted by route. */
  public Evidence {
    routes = java.util.Collections.unmodifiableMap(new TreeMap<>(routes));
  }

  /**
   * Builds the evidence from rows.
   *
   * @param rows at most one row per route and side
   * @return the evidence
   */
  public static Evidence of(List<EvidenceRow> rows) {
    Map<String, RouteEvidence> routes = new TreeMap<>();
    for (EvidenceRow row : rows) {
      RouteEvidence route = routes.getOrDefault(row.route(), RouteEvidence.NONE);
      routes.put(row.route(), route.with(row.side(), row.counts()));
    }
    return new Evidence(routes);
  }

  /**
   * Adds the evidence of another source.
   *
   * @param other evidence from a disjoint set of calls
   * @return the sums
   */
  public Evidence plus(Evidence other) {
    return merge(other, CallCounts::plus);
  }

  /**
   * Joins two snapshots of the same cumulative evidence.
   *
   * @param other another snapshot, older or newer
   * @return the element-wise maximum
   */
  public Evidence join(Evidence other) {
    return merge(other, CallCounts::join);
  }

  /**
   * Returns this evidence with each side replaced by that of another snapshot where it has calls.
   *
   * @param other the other snapshot; a side without calls replaces nothing
   * @return the combined evidence
   */
  public Evidence overriddenBy(Evidence other) {
    return merge(other, (local, theirs) -> theirs.equals(CallCounts.NONE) ? local : theirs);
  }

  /**
   * Returns the increase since an earlier snapshot.
   *
   * @param earlier the earlier snapshot
   * @return the differences, never below 0, on the routes of this snapshot
   */
  public Evidence since(Evidence earlier) {
    Map<String, RouteEvidence> added = new TreeMap<>();
    routes.forEach(
        (name, route) -> {
          RouteEvidence before = earlier.routes.getOrDefault(name, RouteEvidence.NONE);
          added.put(
              name,
              new RouteEvidence(
                  route.oldCounts().since(before.oldCounts()),
                  route.newCounts().since(before.newCounts())));
        });
    return new Evidence(added);
  }

  /**
   * Adds up the evidence of sources that count disjoint sets of calls.
   *
   * @param sources the sources
   * @return the sums
   */
  public static Evidence sum(Collection<Evidence> sources) {
    Evidence sum = NONE;
    for (Evidence source : sources) {
      sum = sum.plus(source);
    }
    return sum;
  }

  /**
   * Returns the counts of one side, summed over all routes.
   *
   * @param side the side
   * @return the sum
   */
  public CallCounts total(Side side) {
    CallCounts sum = CallCounts.NONE;
    for (RouteEvidence route : routes.values()) {
      sum = sum.plus(route.counts(side));
    }
    return sum;
  }

  /**
   * Returns the evidence as rows.
   *
   * @return one row per route and side that has calls
   */
  public List<EvidenceRow> rows() {
    List<EvidenceRow> rows = new ArrayList<>();
    routes.forEach(
        (name, route) -> {
          for (Side side : Side.values()) {
            if (!route.counts(side).equals(CallCounts.NONE)) {
              rows.add(new EvidenceRow(name, side, route.counts(side)));
            }
          }
        });
    return rows;
  }

  private Evidence merge(Evidence other, BinaryOperator<CallCounts> operator) {
    Map<String, RouteEvidence> merged = new TreeMap<>(routes);
    other.routes.forEach(
        (name, route) ->
            merged.merge(
                name,
                route,
                (first, second) ->
                    new RouteEvidence(
                        operator.apply(first.oldCounts(), second.oldCounts()),
                        operator.apply(first.newCounts(), second.newCounts()))));
    return new Evidence(merged);
  }

  /**
   * Counts of both sides on one route.
   *
   * @param oldCounts counts of the old version
   * @param newCounts counts of the new version
   */
  public record RouteEvidence(CallCounts oldCounts, CallCounts newCounts) {

    /** Evidence of no calls. */
    public static final RouteEvidence NONE = new RouteEvidence(CallCounts.NONE, CallCounts.NONE);

    /**
     * Returns the counts of a side.
     *
     * @param side the side
     * @return the counts
     */
    public CallCounts counts(Side side) {
      return side == Side.OLD ? oldCounts : newCounts;
    }

    RouteEvidence with(Side side, CallCounts counts) {
      return side == Side.OLD
          ? new RouteEvidence(counts, newCounts)
          : new RouteEvidence(oldCounts, counts);
    }
  }
}
