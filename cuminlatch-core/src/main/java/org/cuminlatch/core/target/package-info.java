/** Lifecycle of a node's local target, derived from the target's reports. */
package org.cuminlatch.core.target;
