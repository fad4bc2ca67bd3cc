/** What the state machines of the control thread have in common: events in, effects out. */
package org.cuminlatch.core.control;
