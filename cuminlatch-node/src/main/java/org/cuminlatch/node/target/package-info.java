/** What the node learns of the target beside it by its health endpoint. */
package org.cuminlatch.node.target;
