package org.cuminlatch.core.error;

/** Processing steps in which an error can occur. */
public enum Step {
  /** Reading and validating the settings. */
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
  /** Evaluating a move. */
  JUDGE,
  /** Encoding or decoding a message. */
  CODEC
}
