package org.cuminlatch.core.control;

import java.time.Instant;
import org.cuminlatch.core.membership.Address;

/**
 * A state machine that the control thread drives; it is called by one thread at a time.
 *
 * @param <M> the messages that it takes
 */
public interface ControlEngine<M extends ControlMessage> {

  /**
   * Takes a message.
   *
   * @param from control address of the sender
   * @param message the message
   * @param now the time
   */
  void onMessage(Address from, M message, Instant now);

  /**
   * Lets time pass.
   *
   * @param now the time
   */
  void onTick(Instant now);
}
