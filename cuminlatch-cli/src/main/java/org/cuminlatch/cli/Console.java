package org.cuminlatch.cli;

import java.io.PrintWriter;

/**
 * Where a command writes to.
 *
 * @param out what the operator asked for
 * @param err errors, one line each, and warnings
 */
record Console(PrintWriter out, PrintWriter err) {}
