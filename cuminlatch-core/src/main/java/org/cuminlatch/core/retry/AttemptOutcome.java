package org.cuminlatch.core.retry;

/** What is known of an attempt after its end. */
public enum AttemptOutcome {
  /** The target answered; the answer is the caller's, whatever its status. */
  ANSWERED,
  /** It is proven that the target did not run the request and will not. */
  NOT_RUN,
  /** The target may have run the request. */
  UNKNOWN
}
