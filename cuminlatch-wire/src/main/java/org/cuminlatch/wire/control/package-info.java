/** Codec and channels of the control messages. */
package org.cuminlatch.wire.control;
