package org.cuminlatch.core.membership;

/** Listener for changes of the members, called on the control thread; feeds the decision log. */
@FunctionalInterface
public interface MembershipListener {

  /**
   * Called after a member has changed.
   *
   * @param member the member after the change
   * @param change kind of the change
   */
  void onChange(Member member, Change change);

  /** Kinds of changes. */
  enum Change {
    /** It was unknown before, or has returned with a higher incarnation. */
    JOINED,
    /** Its facts changed. */
    UPDATED,
    /** A probe of it failed and it is now suspect. */
    SUSPECTED,
    /** It did not refute a suspicion and is now dead. */
    DIED,
    /** It announced that it leaves. */
    LEFT
  }
}
