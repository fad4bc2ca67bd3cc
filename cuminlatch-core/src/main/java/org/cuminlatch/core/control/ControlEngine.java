package org.cuminlatch.core.control;

import java.time.Instant;
import org.cuminlatch.core.membership.Address;

/**
 * State machine that the control thread drives; it is called by one thread at a time.
 *
 * @param <M> type of the messages that it handles
 */
public interface ControlEngine<M extends ControlMessage> {

  /**
   * Handles a message.
   *
   * @param from control address of the sender
   * @param message the message
   * @param now the current time
   */
  void onMessage(Address from, M message, Instant now);

  /**
   * Performs the work that is due at the given time.
   *
   * @param now the current time
   */
  void onTick(Instant now);
}
