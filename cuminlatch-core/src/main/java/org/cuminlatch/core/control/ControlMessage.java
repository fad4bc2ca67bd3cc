package org.cuminlatch.core.control;

/** Message between the control threads of two nodes; each protocol seals its own kinds. */
public interface ControlMessage {}
