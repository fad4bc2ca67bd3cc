package org.cuminlatch.core.error;

/** Steps of the work in which an error can arise. */
public enum Step {
  /** Reading and checking the settings. */
  SETTINGS,
  /** Appending to the platform's log. */
  LOG_APPEND,
  /** Reading from the platform's log. */
  LOG_READ,
  /** Folding a record into the configuration. */
  FOLD,
  /** Writing or loading a checkpoint. */
  CHECKPOINT,
  /** Exchanging membership messages. */
  GOSSIP,
  /** Distributing configuration between nodes. */
  SPREAD,
  /** Matching a request to a route and a target. */
  ROUTE,
  /** Admitting a request into a slot. */
  ADMIT,
  /** Forwarding a request to a peer. */
  FORWARD,
  /** Calling the target. */
  CALL_TARGET,
  /** Judging a move. */
  JUDGE,
  /** Encoding or decoding a message. */
  CODEC
}
