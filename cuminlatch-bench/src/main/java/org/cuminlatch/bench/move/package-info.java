/**
 * Simulation of moves in virtual time with the move engines of the nodes on an in-memory network.
 */
package org.cuminlatch.bench.move;
