/**
 * The path of a call: caller, node, node beside the target, target and back.
 *
 * <p>{@link org.cuminlatch.node.call.CallPath} is the only public entrance.
 */
package org.cuminlatch.node.call;
