package org.cuminlatch.cli.publish;

import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.tomlj.TomlTable;

/** Errors of a publication file in one line: the key, the value found and the value expected. */
final class PublicationErrors {

  private PublicationErrors() {}

  static CuminlatchException unexpected(String key, Object found, String expected) {
    String shown = found instanceof TomlTable ? "a table" : String.valueOf(found);
    return invalid(key + ": found " + shown + ", expected " + expected);
  }

  static CuminlatchException missing(String key, String expected) {
    return unexpected(key, "nothing", expected);
  }

  static CuminlatchException invalid(String problem) {
    return CuminlatchException.of(ErrorCode.INVALID_SETTING, Step.SETTINGS, problem);
  }
}
