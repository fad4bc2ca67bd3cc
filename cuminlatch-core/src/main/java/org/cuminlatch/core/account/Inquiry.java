package org.cuminlatch.core.account;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * A question after a proof that the version in force is the newest one.
 *
 * @param source whom to ask
 * @param attempt number of inquiries to this source without effect
 */
public record Inquiry(Source source, int attempt) {

  /** Checks the fields. */
  public Inquiry {
    notNull(source, "source");
    notNegative(attempt, "attempt");
  }

  /** Whom a node asks, cheapest first. */
  public enum Source {
    /** Nodes of the own zone. */
    ZONE,
    /** A node of another zone. */
    OTHER_ZONE,
    /** The store, by one read. */
    STORE
  }
}
