package org.cuminlatch.core.control;

/** Message between the control threads of two nodes; each protocol has its own sealed subtype. */
public interface ControlMessage {}
