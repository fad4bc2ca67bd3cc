package org.cuminlatch.bench.move;

/** What the new version of a simulated move is like. */
enum VersionKind {
  /** As the old one. */
  GOOD(false),
  /** Fails a share of its calls from the beginning. */
  BAD_AT_ONCE(true),
  /** Is several times slower from the beginning. */
  SLOW_AT_ONCE(true),
  /** Begins to fail at some time within the move. */
  BAD_LATE(true),
  /** Fails when it takes more than a part of the traffic. */
  BAD_UNDER_LOAD(true),
  /** Fails on a route with a hundredth of the traffic. */
  BAD_ON_ROUTE_1(true),
  /** Fails on a route with a tenth of the traffic. */
  BAD_ON_ROUTE_10(true),
  /** Good, but its targets restart within the move and are slow while they are cold. */
  SLOW_COLD_START(false),
  /** Fails for a while, works for a while. */
  FLAPPING(true);

  private final boolean bad;

  VersionKind(boolean bad) {
    this.bad = bad;
  }

  boolean isBad() {
    return bad;
  }
}
