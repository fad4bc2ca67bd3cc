package org.cuminlatch.cli.publish;

import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.tomlj.TomlTable;

/** Errors of a file in one line: the key, what it had and what it wants. */
final class InvalidFile {

  private InvalidFile() {}

  static CuminlatchException had(String key, Object found, String wanted) {
    String shown = found instanceof TomlTable ? "a table" : String.valueOf(found);
    return because(key + " had " + shown + "; it wants " + wanted);
  }

  static CuminlatchException missing(String key, String wanted) {
    return had(key, "nothing", wanted);
  }

  static CuminlatchException because(String problem) {
    return CuminlatchException.of(ErrorCode.INVALID_SETTING, Step.SETTINGS, problem);
  }
}
