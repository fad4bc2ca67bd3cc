package org.cuminlatch.cli.publish;

import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;

/** Errors of a file in one line: the key, what it had and what it wants. */
final class InvalidFile {

  private InvalidFile() {}

  static CuminlatchException had(String key, Object found, String wanted) {
    String shown = found instanceof String ? "\"" + found + "\"" : String.valueOf(found);
    return because(key + " is " + shown + ", want " + wanted);
  }

  static CuminlatchException missing(String key, String wanted) {
    return because(key + " is missing, want " + wanted);
  }

  static CuminlatchException because(String problem) {
    return CuminlatchException.of(ErrorCode.INVALID_SETTING, Step.SETTINGS, problem);
  }
}
