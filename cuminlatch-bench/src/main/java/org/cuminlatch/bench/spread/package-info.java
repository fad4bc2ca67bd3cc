/** Simulation of membership and configuration spread on an in-memory network in virtual time. */
package org.cuminlatch.bench.spread;
