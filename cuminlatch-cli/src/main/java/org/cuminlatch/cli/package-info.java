/** The operators' command-line tool. */
package org.cuminlatch.cli;
