package org.cuminlatch.core.config;

/** Configuration resource, decoded from the body of a record. */
public sealed interface Resource
    permits Route, RouteRemoval, TargetVersion, Move, MoveStop, MoveOutcome {

  /**
   * Returns the name that identifies the resource among those of its kind.
   *
   * @return the name
   */
  String name();
}
