/**
 * Decision logic of cuminlatch, implemented as pure state machines.
 *
 * <p>No class in this package or its subpackages performs I/O, starts a thread or reads a clock:
 * callers pass in events and the current time, and receive the resulting effects.
 */
package org.cuminlatch.core;
