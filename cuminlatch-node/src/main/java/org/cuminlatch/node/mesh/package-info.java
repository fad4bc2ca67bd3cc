/**
 * Forwards calls on an operator's platform: the entry that takes callers' requests, the links
 * between nodes, the gate that admits attempts to the local target, and the control state that
 * follows the platform's store. Traffic runs on one event loop, control state on another; neither
 * loop blocks.
 */
package org.cuminlatch.node.mesh;
