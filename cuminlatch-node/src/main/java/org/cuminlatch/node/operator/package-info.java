/** Pages over HTTP by which operators look into a node. */
package org.cuminlatch.node.operator;
