package org.cuminlatch.core.config;

/** Names of the record kinds that this release supports. */
public final class RecordKinds {

  /** A {@link Route}. */
  public static final String ROUTE = "route";

  /** A {@link TargetVersion}. */
  public static final String TARGET_VERSION = "target-version";

  /** A {@link Move}. */
  public static final String MOVE = "move";

  /** An operator's request to stop a move, a {@link MoveStop}. */
  public static final String MOVE_STOP = "move-stop";

  /** The end of a move, a {@link MoveOutcome}, appended by a node. */
  public static final String MOVE_OUTCOME = "move-outcome";

  /** Removal of a route, a {@link RouteRemoval}. */
  public static final String ROUTE_REMOVAL = "route-removal";

  /**
   * Prefix of extension kinds. The fold stores and relays their records by the envelope alone, so
   * that a newer release can add a kind while older nodes are still running.
   */
  public static final String EXTENSION_PREFIX = "ext-";

  private RecordKinds() {}

  /**
   * Returns whether a kind is an extension kind.
   *
   * @param kind name of the kind
   * @return true if it starts with {@link #EXTENSION_PREFIX}
   */
  public static boolean isExtension(String kind) {
    return kind.startsWith(EXTENSION_PREFIX);
  }
}
