package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * Why a record is refused.
 *
 * @param reason the reason
 * @param detail one line that names what was found and what is wanted
 */
public record Refusal(RefusalReason reason, String detail) {

  /** Checks the fields. */
  public Refusal {
    notNull(reason, "reason");
    notBlank(detail, "detail");
  }
}
