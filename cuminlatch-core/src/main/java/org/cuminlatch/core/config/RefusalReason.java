package org.cuminlatch.core.config;

/** Reasons for which the fold refuses a record; a refused record changes nothing. */
public enum RefusalReason {
  /** The record or one of its bodies exceeds the largest size. */
  TOO_LARGE,
  /** The record is cut short, malformed or contradicts itself. */
  MALFORMED,
  /** The kind is neither known nor an extension kind. */
  UNKNOWN_KIND,
  /** The kind needs a body in the base schema version and the record has none. */
  SCHEMA_MISSING,
  /** A record with the same id was decided before. */
  REPEATED_RECORD_ID,
  /** The resource has another version than the operator expected. */
  EXPECTED_VERSION_MISMATCH,
  /** The record refers to a resource that does not exist. */
  UNRESOLVED_REFERENCE,
  /** The resource cannot go or change because another one depends on it. */
  STILL_REFERENCED,
  /** The resource that the record is about does not exist. */
  RESOURCE_MISSING,
  /** A move of that name exists already. */
  MOVE_EXISTS,
  /** The fields of the move leave no way to carry it out. */
  MOVE_IMPOSSIBLE,
  /** The traffic is not on the target version that the move starts from. */
  MOVE_FROM_NOT_CURRENT,
  /** Another move of the same traffic is open. */
  MOVE_CONFLICT,
  /** The operator stopped the move before this record. */
  MOVE_STOPPED,
  /** The outcome of the move is stated already; the first one stands. */
  MOVE_ENDED,
  /** The configuration holds as many resources of the kind as it may. */
  LIMIT_EXCEEDED
}
