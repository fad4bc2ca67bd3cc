/** HTTP pages that show operators the state of a node. */
package org.cuminlatch.node.operator;
