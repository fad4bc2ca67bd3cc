package org.cuminlatch.node.http;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Socket channel that tells whether its connection is idle and open as far as this host knows. */
final class ProbedSocketChannel extends NioSocketChannel {

  /** State of the input of a connection that carries no request. */
  enum Input {
    /** Nothing has been received that was not read. */
    NONE,

    /** Bytes have been received. */
    BYTES,

    /** The peer has closed or reset the connection. */
    CLOSED
  }

  /**
   * Looks for input that the event loop has not read yet. A byte that is found is lost, so that the
   * connection can't be used any more.
   */
  Input probeInput() {
    try {
      int read = javaChannel().read(ByteBuffer.allocate(1));
      if (read == 0) {
        return Input.NONE;
      }
      return read > 0 ? Input.BYTES : Input.CLOSED;
    } catch (IOException reset) {
      return Input.CLOSED;
    }
  }
}
