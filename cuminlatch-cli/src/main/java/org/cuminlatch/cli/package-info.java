/** Command-line tool for operators. */
package org.cuminlatch.cli;
