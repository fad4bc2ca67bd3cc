package org.cuminlatch.testkit.load;

/** How a request ended, as its caller saw it. */
public enum Outcome {
  /** The whole answer to this request. */
  OK,
  /** An answer with status 200 that is not whole or belongs to another request. */
  WRONG_ANSWER,
  /** A refusal that says that the request was not run. */
  NOT_RUN,
  /** The request may or may not have run. */
  UNKNOWN,
  /** Any other status. */
  OTHER
}
