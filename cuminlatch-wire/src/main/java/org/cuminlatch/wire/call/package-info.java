/** Frames and channels of forwarded calls. */
package org.cuminlatch.wire.call;
