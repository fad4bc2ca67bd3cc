/** The control thread: timers and queues round the state machines of the core. */
package org.cuminlatch.node.control;
