/** The event log of a node: one JSON line per event, limited in lines per second. */
package org.cuminlatch.node.event;
