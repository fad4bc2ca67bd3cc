/**
 * Carries calls: from the caller to the entry node, which the caller connected to, from there to
 * the node of a target, from that node to the target, and the answer all the way back.
 *
 * <p>{@link org.cuminlatch.node.call.CallPath} is the entry point of the package.
 */
package org.cuminlatch.node.call;
