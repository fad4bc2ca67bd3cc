package org.cuminlatch.cli;

/** Exit statuses of the tool. */
final class ExitStatus {

  /** The verb succeeded. */
  static final int OK = 0;

  /** The log or the node did not answer, or the outcome is unknown. */
  static final int UNAVAILABLE = 1;

  /** The command line or a file is invalid; nothing was appended. */
  static final int INVALID_INPUT = 2;

  /** The watched move was rolled back. */
  static final int ROLLED_BACK = 3;

  /** The fold refused a record, or would refuse it. */
  static final int REFUSED = 4;

  private ExitStatus() {}
}
