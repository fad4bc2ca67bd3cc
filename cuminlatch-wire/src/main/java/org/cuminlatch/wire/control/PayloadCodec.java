package org.cuminlatch.wire.control;

import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.wire.proto.control.Protocol;

/**
 * Encodes and decodes the messages of one protocol.
 *
 * @param <M> type of the messages
 */
public interface PayloadCodec<M extends ControlMessage> {

  /**
   * Returns the protocol.
   *
   * @return the protocol
   */
  Protocol protocol();

  /**
   * Returns the type of the messages.
   *
   * @return the common interface of all messages of the protocol
   */
  Class<M> messageType();

  /**
   * Encodes a message.
   *
   * @param message the message
   * @return the bytes
   */
  byte[] encode(M message);

  /**
   * Decodes a message.
   *
   * @param payload the bytes
   * @return the message
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_FRAME} if the bytes
   *     are malformed
   */
  M decode(byte[] payload);
}
