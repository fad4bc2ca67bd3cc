package org.cuminlatch.bench.call;

/** How a simulated node carries the calls that it accepts from callers. */
interface CallPolicy {

  /** Carries one call. */
  void call();
}
