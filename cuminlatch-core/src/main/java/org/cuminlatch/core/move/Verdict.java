package org.cuminlatch.core.move;

import java.util.function.Supplier;

/** What a look at the evidence says about the new version. */
public final class Verdict {

  /** The verdict before any look. */
  public static final Verdict NONE = new Verdict(Kind.UNSUSPICIOUS, () -> "no calls yet");

  private final Kind kind;
  private final Supplier<String> reason;

  Verdict(Kind kind, Supplier<String> reason) {
    this.kind = kind;
    this.reason = reason;
  }

  /**
   * Returns the verdict proper.
   *
   * @return the kind
   */
  public Kind kind() {
    return kind;
  }

  /**
   * Returns what decided, put into words when asked for.
   *
   * @return one sentence with the figures
   */
  public String reason() {
    return reason.get();
  }

  /** The verdicts. */
  public enum Kind {
    /** Nothing speaks against the new version. */
    UNSUSPICIOUS,
    /** Something speaks against it, but not enough to roll back. */
    SUSPICIOUS,
    /** It is shown to be worse than the old version. */
    BAD
  }
}
