package org.cuminlatch.cli;

/** One verb of the tool; args4j sets the fields that hold its options and arguments. */
interface Command {

  /**
   * Runs the verb.
   *
   * @param context output streams, clock and source of random numbers of the tool
   * @return the exit status
   * @throws org.cuminlatch.core.error.CuminlatchException if the log or the node fails, or the
   *     input is invalid
   */
  int run(CommandContext context);
}
