package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;

/**
 * Report to the operators.
 *
 * @param id identifies what is reported; reports with the same id are duplicates
 * @param kind kind of report
 * @param version configuration version that the report refers to
 * @param subject what the report refers to, such as a resource or an instance
 * @param text one line for the operator
 * @param at time of the event
 */
public record Report(String id, Kind kind, long version, String subject, String text, Instant at) {

  /** Validates the components. */
  public Report {
    notBlank(id, "id");
    notNull(kind, "kind");
    notNull(subject, "subject");
    notNull(text, "text");
    notNull(at, "at");
  }

  /** Kinds of reports. */
  public enum Kind {
    /** A record was accepted. */
    ACCEPTED,
    /** A record was refused. */
    REFUSED,
    /** A version is in force on n of m instances. */
    IN_FORCE,
    /** Some instances cannot read the newest record of a resource. */
    UNREADABLE,
    /** Two instances hold different states at one version. */
    DIVERGENCE,
    /** The log skips offsets. */
    OFFSET_GAP,
    /** A checkpoint on the log is truncated, corrupt or of an unknown format. */
    INVALID_CHECKPOINT,
    /** Reports were dropped because too many were pending. */
    DROPPED
  }
}
