package org.cuminlatch.core.error;

/** Codes of all errors that cuminlatch reports; {@code docs/ERRORS.md} explains each of them. */
public enum ErrorCode {
  /** A setting is missing, unknown, of the wrong type or out of range. */
  INVALID_SETTING,
  /** A record is malformed, of an unknown kind or too large. */
  INVALID_RECORD,
  /** A record was refused because it conflicts with the state of the configuration. */
  RECORD_REFUSED,
  /** A checkpoint is truncated, corrupt or of an unknown format. */
  INVALID_CHECKPOINT,
  /** A frame is malformed, too large or belongs to another mesh. */
  INVALID_FRAME,
  /** The platform's log did not answer or answered with a failure. */
  LOG_UNAVAILABLE,
  /** The platform's log refused an append because of its rate limit. */
  LOG_RATE_LIMITED,
  /** The platform's log no longer retains the records asked for. */
  LOG_TRUNCATED,
  /** No route matches the request. */
  NO_ROUTE,
  /** No member can serve the request. */
  NO_TARGET,
  /** The request was not executed: its deadline cannot be met or the queue is full. */
  NOT_RUN,
  /** The request may or may not have been executed. */
  UNKNOWN_OUTCOME,
  /** A peer could not be reached or stopped responding. */
  PEER_UNAVAILABLE,
  /** The node's configuration has not reached the floor, so the node does not serve yet. */
  NOT_READY,
  /** A defect in cuminlatch itself. */
  INTERNAL
}
