package org.cuminlatch.bench.move;

/** Behaviour of the new version in a simulated move. */
enum VersionKind {
  /** Behaves like the old version. */
  GOOD(false),
  /** Fails a share of its calls from the start. */
  BAD_AT_ONCE(true),
  /** Is several times slower from the start. */
  SLOW_AT_ONCE(true),
  /** Starts to fail at a random time during the move. */
  BAD_LATE(true),
  /** Fails once its share of the calls reaches a threshold. */
  BAD_UNDER_LOAD(true),
  /** Fails on a route with 1 % of the calls. */
  BAD_ON_ROUTE_1(true),
  /** Fails on a route with 10 % of the calls. */
  BAD_ON_ROUTE_10(true),
  /** Good, but its targets restart during the move and are slow while cold. */
  SLOW_COLD_START(false),
  /** Alternates between failing and working periods. */
  FLAPPING(true);

  private final boolean bad;

  VersionKind(boolean bad) {
    this.bad = bad;
  }

  boolean isBad() {
    return bad;
  }
}
