package org.cuminlatch.cli;

/** One verb of the tool; args4j fills the fields that stand for its options and arguments. */
interface Command {

  /**
   * Runs the verb.
   *
   * @param context what the verb works with
   * @return the exit status
   * @throws org.cuminlatch.core.error.CuminlatchException if the log or the node fails, or the
   *     input is wrong
   */
  int run(CommandContext context);
}
