package org.cuminlatch.core.config;

import java.time.Duration;

/** Limits that every fold applies; they are part of the acceptance rules, which never change. */
public final class FoldLimits {

  /** Maximum number of routes. */
  public static final int MAX_ROUTES = 5_000;

  /** Maximum number of services. */
  public static final int MAX_SERVICES = 1_000;

  /** Maximum number of target versions of a service; beyond it the oldest unused one is removed. */
  public static final int MAX_TARGET_VERSIONS = 32;

  /** Maximum number of open moves. */
  public static final int MAX_OPEN_MOVES = 1_000;

  /** Maximum number of ended moves kept; beyond it the one that ended first is removed. */
  public static final int MAX_ENDED_MOVES = 500;

  /** Maximum number of resources of extension kinds. */
  public static final int MAX_EXTENSIONS = 1_000;

  /** Maximum number of recent record ids that are kept to detect duplicates. */
  public static final int MAX_RECORD_IDS = 2_048;

  /** Minimum duration of a step of a move. */
  public static final Duration MIN_STEP_DURATION = Duration.ofSeconds(1);

  private FoldLimits() {}
}
