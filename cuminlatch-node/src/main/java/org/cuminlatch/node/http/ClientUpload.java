package org.cuminlatch.node.http;

import io.netty.channel.ChannelFuture;

/**
 * A request whose body is sent in parts. Nothing of it is sent before {@link #start}. If it is
 * cancelled before the last part, its connection is closed, so that the server can't take the body
 * for complete.
 */
public interface ClientUpload extends ClientCall {

  /**
   * Starts the request; must be called at most once, after the connection was opened.
   *
   * @param request the request without its body
   * @param length length of the body in bytes, negative if unknown
   * @return false if the connection can't be used any more; the listener is not called then, and
   *     nothing was sent
   */
  boolean start(ClientRequest request, long length);

  /**
   * Sends a part of the body; ignored if the request has ended.
   *
   * @param content the part
   * @param last whether the body ends with this part
   * @return completes when the part was written to the socket
   */
  ChannelFuture send(byte[] content, boolean last);
}
