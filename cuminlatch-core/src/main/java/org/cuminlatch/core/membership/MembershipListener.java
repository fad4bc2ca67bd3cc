package org.cuminlatch.core.membership;

/** Hears of changes of the members, on the control thread; for the decision log. */
@FunctionalInterface
public interface MembershipListener {

  /**
   * Takes a change.
   *
   * @param member the member after the change
   * @param change what happened
   */
  void onChange(Member member, Change change);

  /** Kinds of changes. */
  enum Change {
    /** It was not known before, or came back with a higher incarnation. */
    JOINED,
    /** Its facts changed. */
    UPDATED,
    /** A probe of it failed. */
    SUSPECTED,
    /** It did not refute a suspicion. */
    DIED,
    /** It said that it leaves. */
    LEFT
  }
}
