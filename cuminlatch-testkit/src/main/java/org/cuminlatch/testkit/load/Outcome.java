package org.cuminlatch.testkit.load;

/** How a request ended, as its caller observed it. */
public enum Outcome {
  /** The complete answer to this request. */
  OK,
  /** An answer with status 200 that is incomplete or belongs to another request. */
  WRONG_ANSWER,
  /** A refusal that states that the request was not executed. */
  NOT_RUN,
  /** The request may or may not have been executed. */
  UNKNOWN,
  /** An answer with any other status. */
  OTHER
}
