/**
 * The path of a call on an operator's platform: entry, links between nodes, the gate of the target,
 * and the control thread that follows the platform's store. The traffic runs on one event loop, the
 * control state on another; neither blocks.
 */
package org.cuminlatch.node.mesh;
