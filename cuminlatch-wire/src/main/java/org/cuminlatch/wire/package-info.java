/** Messages between cuminlatch's own processes, their codecs and channels. */
package org.cuminlatch.wire;
