package org.cuminlatch.core.config;

/** Aborts the checks of a record at the first one that fails; the fold catches it. */
final class RefusalException extends RuntimeException {

  private final transient Refusal refusal;

  private RefusalException(Refusal refusal) {
    super(refusal.detail(), null, false, false);
    this.refusal = refusal;
  }

  static RefusalException of(RefusalReason reason, String detail) {
    return new RefusalException(new Refusal(reason, detail));
  }

  static void refuseUnless(boolean condition, RefusalReason reason, String detail) {
    if (!condition) {
      throw of(reason, detail);
    }
  }

  Refusal refusal() {
    return refusal;
  }
}
