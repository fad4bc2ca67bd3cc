/** Measurements of moves on virtual time: judge and nodes' engines on an in-memory network. */
package org.cuminlatch.bench.move;
