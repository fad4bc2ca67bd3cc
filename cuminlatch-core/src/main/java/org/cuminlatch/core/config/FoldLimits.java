package org.cuminlatch.core.config;

import java.time.Duration;

/** Limits that every fold applies; they are part of the frozen rules of acceptance. */
public final class FoldLimits {

  /** Most routes. */
  public static final int MAX_ROUTES = 5_000;

  /** Most services. */
  public static final int MAX_SERVICES = 1_000;

  /** Most target versions of a service; beyond it the oldest unused one goes. */
  public static final int MAX_TARGET_VERSIONS = 32;

  /** Most open moves. */
  public static final int MAX_OPEN_MOVES = 1_000;

  /** Most ended moves that are kept; beyond it the one that ended first goes. */
  public static final int MAX_ENDED_MOVES = 500;

  /** Most resources of extension kinds. */
  public static final int MAX_EXTENSIONS = 1_000;

  /** Record ids that are remembered in order to drop repeats. */
  public static final int MAX_RECORD_IDS = 2_048;

  /** Shortest time that a step of a move takes. */
  public static final Duration MIN_STEP_DURATION = Duration.ofSeconds(1);

  private FoldLimits() {}
}
