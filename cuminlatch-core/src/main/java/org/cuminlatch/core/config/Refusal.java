package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * Reason and explanation for refusing a record.
 *
 * @param reason the reason
 * @param detail one line that states what was found and what was expected
 */
public record Refusal(RefusalReason reason, String detail) {

  /** Validates the components. */
  public Refusal {
    notNull(reason, "reason");
    notBlank(detail, "detail");
  }
}
