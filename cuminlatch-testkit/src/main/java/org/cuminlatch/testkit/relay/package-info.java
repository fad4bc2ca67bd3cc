/** Relay between two processes that can drop or delay traffic, close or silence connections. */
package org.cuminlatch.testkit.relay;
