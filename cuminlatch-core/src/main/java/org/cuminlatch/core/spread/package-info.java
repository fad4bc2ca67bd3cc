/** Distribution of log records between the nodes: readers, push and repair. */
package org.cuminlatch.core.spread;
