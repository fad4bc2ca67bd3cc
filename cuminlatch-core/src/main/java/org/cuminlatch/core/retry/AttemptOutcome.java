package org.cuminlatch.core.retry;

/** What is known about the outcome of an attempt after its end. */
public enum AttemptOutcome {
  /** The target answered. The answer is returned to the caller, whatever its status. */
  ANSWERED,
  /** The target has provably not run the request and will not run it. */
  NOT_RUN,
  /** The target may have run the request. */
  UNKNOWN
}
