package org.cuminlatch.wire.call;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.cuminlatch.wire.proto.call.CallFrame;

/**
 * Passes the frames and the state of a TCP connection to a {@link CallFrameHandler}.
 *
 * <p>Frames that have been received behind an unreadable one, or that arrive after this side has
 * closed the connection, are dropped.
 */
final class CallChannelHandler extends SimpleChannelInboundHandler<CallFrame> {

  private final NettyCallChannel channel;
  private final CallFrameHandler handler;

  CallChannelHandler(NettyCallChannel channel, CallFrameHandler handler) {
    this.channel = channel;
    this.handler = handler;
  }

  NettyCallChannel callChannel() {
    return channel;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, CallFrame frame) {
    if (channel.isOpen()) {
      handler.onFrame(channel, frame);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    handler.onConnected(channel);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    handler.onClosed(channel);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
