/** Interfaces shared by the state machines of the control thread. */
package org.cuminlatch.core.control;
