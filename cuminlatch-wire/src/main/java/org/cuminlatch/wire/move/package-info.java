/** Codec of the messages about moves. */
package org.cuminlatch.wire.move;
