/** A small mesh of separate processes on loopback, for failure tests and measurements. */
package org.cuminlatch.bench.process;
