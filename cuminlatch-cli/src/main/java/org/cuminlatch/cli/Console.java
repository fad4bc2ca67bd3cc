package org.cuminlatch.cli;

import java.io.PrintWriter;

/**
 * Output streams of a command.
 *
 * @param out result that the operator asked for
 * @param err errors and warnings, one line each
 */
record Console(PrintWriter out, PrintWriter err) {}
