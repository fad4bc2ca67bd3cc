package org.cuminlatch.wire.control;

import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.wire.proto.control.Protocol;

/**
 * Translates the messages of one protocol to and from bytes.
 *
 * @param <M> the messages
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
   * @return the class that all messages of the protocol implement
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
