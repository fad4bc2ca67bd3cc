package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

/** A fact about an instance that is disseminated by gossip. */
public sealed interface Update {

  /**
   * Returns the instance that the update applies to.
   *
   * @return name of the instance
   */
  String instance();

  /**
   * Returns the incarnation that the update applies to.
   *
   * @return the incarnation
   */
  long incarnation();

  /**
   * Returns an upper bound of the encoded size.
   *
   * @return the size in bytes
   */
  int estimatedBytes();

  /**
   * Announcement of all facts of an instance.
   *
   * @param member the facts
   */
  record Announcement(Member member) implements Update {

    private static final int FIXED_BYTES = 60;

    /** Checks the fields. */
    public Announcement {
      notNull(member, "member");
    }

    @Override
    public String instance() {
      return member.instance();
    }

    @Override
    public long incarnation() {
      return member.incarnation();
    }

    @Override
    public int estimatedBytes() {
      return FIXED_BYTES
          + member.instance().length()
          + member.locality().region().length()
          + member.locality().zone().length()
          + member.service().length()
          + member.targetVersion().length();
    }
  }

  /**
   * A verdict on the liveness of an instance.
   *
   * @param instance the instance
   * @param incarnation the incarnation that the verdict applies to
   * @param status the status assigned to the instance
   */
  record Verdict(String instance, long incarnation, Member.Status status) implements Update {

    private static final int FIXED_BYTES = 14;

    /** Checks the fields. */
    public Verdict {
      notBlank(instance, "instance");
      notNegative(incarnation, "incarnation");
      notNull(status, "status");
    }

    @Override
    public int estimatedBytes() {
      return FIXED_BYTES + instance.length();
    }
  }
}
