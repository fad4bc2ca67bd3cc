package org.cuminlatch.core.config;

/** Reasons for which the fold refuses a record; a refused record changes nothing. */
public enum RefusalReason {
  /** The record or one of its bodies exceeds its maximum size. */
  TOO_LARGE,
  /** The record is truncated, malformed or inconsistent. */
  MALFORMED,
  /** The kind is neither supported nor an extension kind. */
  UNKNOWN_KIND,
  /** The kind needs a body in the base schema version and the record has none. */
  SCHEMA_MISSING,
  /** A record with the same id has already been decided. */
  REPEATED_RECORD_ID,
  /** The resource has another version than the operator expected. */
  EXPECTED_VERSION_MISMATCH,
  /** The record refers to a resource that does not exist. */
  UNRESOLVED_REFERENCE,
  /** The resource cannot be removed or changed because another one depends on it. */
  STILL_REFERENCED,
  /** The resource that the record is about does not exist. */
  RESOURCE_MISSING,
  /** A move of that name exists already. */
  MOVE_EXISTS,
  /** The move cannot be carried out with the given fields. */
  MOVE_IMPOSSIBLE,
  /** The traffic is not on the target version that the move starts from. */
  MOVE_FROM_NOT_CURRENT,
  /** Another move that affects the same traffic is open. */
  MOVE_CONFLICT,
  /** The operator stopped the move before this record. */
  MOVE_STOPPED,
  /** The move already has an outcome; the first one is final. */
  MOVE_ENDED,
  /** The configuration already holds the maximum number of resources of the kind. */
  LIMIT_EXCEEDED
}
