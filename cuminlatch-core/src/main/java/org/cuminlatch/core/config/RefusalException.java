package org.cuminlatch.core.config;

/** Leaves the checks of a record at the first one that fails; caught by the fold. */
final class RefusalException extends RuntimeException {

  private final transient Refusal refusal;

  private RefusalException(Refusal refusal) {
    super(refusal.detail(), null, false, false);
    this.refusal = refusal;
  }

  static RefusalException of(RefusalReason reason, String detail) {
    return new RefusalException(new Refusal(reason, detail));
  }

  static void refuseUnless(boolean holds, RefusalReason reason, String detail) {
    if (!holds) {
      throw of(reason, detail);
    }
  }

  Refusal refusal() {
    return refusal;
  }
}
