/** Health checks of the local target. */
package org.cuminlatch.node.target;
