/**
 * The control plane of a node: one thread, timers and I/O around the state machines of the core.
 */
package org.cuminlatch.node.control;
