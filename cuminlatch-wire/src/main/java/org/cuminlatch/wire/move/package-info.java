/** Codec of the evidence about moves. */
package org.cuminlatch.wire.move;
