package org.cuminlatch.core.move;

import java.util.function.Supplier;

/** Result of an evaluation of the evidence about the new version of a move. */
public final class Evaluation {

  /** The result before the first evaluation. */
  public static final Evaluation NONE = new Evaluation(Kind.UNSUSPICIOUS, () -> "no calls yet");

  private final Kind kind;
  private final Supplier<String> reason;

  Evaluation(Kind kind, Supplier<String> reason) {
    this.kind = kind;
    this.reason = reason;
  }

  /**
   * Returns the kind of the result.
   *
   * @return the kind
   */
  public Kind kind() {
    return kind;
  }

  /**
   * Returns the evidence that decided the result; the text is built on each call.
   *
   * @return one sentence with the figures
   */
  public String reason() {
    return reason.get();
  }

  /** Kind of a result. */
  public enum Kind {
    /** There is no substantial evidence against the new version. */
    UNSUSPICIOUS,
    /** There is evidence against the new version, but not enough to roll back. */
    SUSPICIOUS,
    /** The new version is significantly worse than the old one. */
    BAD
  }
}
