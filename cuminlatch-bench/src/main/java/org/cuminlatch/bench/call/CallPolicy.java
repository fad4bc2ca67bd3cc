package org.cuminlatch.bench.call;

/** What a node does with a call that enters at it. */
interface CallPolicy {

  /** Carries a call. */
  void call();
}
