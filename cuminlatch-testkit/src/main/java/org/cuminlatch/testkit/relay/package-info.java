/** Relay between two processes that loses, delays, cuts or silences what passes through it. */
package org.cuminlatch.testkit.relay;
