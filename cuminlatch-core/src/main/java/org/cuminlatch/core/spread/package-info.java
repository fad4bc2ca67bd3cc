/** Distribution of log records between the nodes: reading the log, push and pull repair. */
package org.cuminlatch.core.spread;
