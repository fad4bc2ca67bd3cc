package org.cuminlatch.core.admission;

/** How the use of a slot ended. */
public enum SlotEnd {
  /** The target answered. */
  ANSWERED,
  /** The target shed the request or did not answer in time. */
  OVERLOADED,
  /** The request was cancelled or failed in a way that is no sign of the target's load. */
  OTHER
}
