package org.cuminlatch.core.control;

import org.cuminlatch.core.membership.Address;

/** Sends the messages of a state machine; delivery is not guaranteed. */
@FunctionalInterface
public interface Outbox {

  /**
   * Sends a message.
   *
   * @param to control address of the receiver
   * @param message the message
   */
  void send(Address to, ControlMessage message);
}
