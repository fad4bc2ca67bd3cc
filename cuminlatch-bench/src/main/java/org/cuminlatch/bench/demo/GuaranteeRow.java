package org.cuminlatch.bench.demo;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * Result of checking one guarantee of the mesh during the demo.
 *
 * @param guarantee description of the guarantee
 * @param checks number of observations that were checked
 * @param violations number of observations that violated the guarantee
 * @param remark measured values, may be empty
 */
record GuaranteeRow(String guarantee, long checks, long violations, String remark) {

  GuaranteeRow {
    notBlank(guarantee, "guarantee");
    notNull(remark, "remark");
  }

  /** Returns whether the guarantee was checked at least once and never violated. */
  boolean holds() {
    return checks > 0 && violations == 0;
  }
}
