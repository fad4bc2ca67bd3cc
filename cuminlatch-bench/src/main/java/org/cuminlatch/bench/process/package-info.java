/** A small mesh of real processes on loopback, for failure tests and measurements. */
package org.cuminlatch.bench.process;
