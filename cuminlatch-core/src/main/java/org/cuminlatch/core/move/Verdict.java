package org.cuminlatch.core.move;

/**
 * What a look at the evidence says about the new version.
 *
 * @param kind the verdict
 * @param reason one sentence with the figures
 */
public record Verdict(Kind kind, String reason) {

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
