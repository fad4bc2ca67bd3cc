/** The log of decisions, one JSON line each. */
package org.cuminlatch.node.event;
