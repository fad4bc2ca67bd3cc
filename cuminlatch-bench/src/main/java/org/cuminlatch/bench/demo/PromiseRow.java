package org.cuminlatch.bench.demo;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * What was observed of one promise.
 *
 * @param promise the promise
 * @param checks how many observations were checked
 * @param violations how many of them broke it
 * @param remark figures that belong to it
 */
record PromiseRow(String promise, long checks, long violations, String remark) {

  PromiseRow {
    notBlank(promise, "promise");
    notNull(remark, "remark");
  }

  /** Returns whether the promise was checked at all and never broken. */
  boolean holds() {
    return checks > 0 && violations == 0;
  }
}
