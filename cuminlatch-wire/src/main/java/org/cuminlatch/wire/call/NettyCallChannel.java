package org.cuminlatch.wire.call;

import io.netty.channel.Channel;
import org.cuminlatch.wire.proto.call.CallFrame;

/** Call channel on a Netty TCP channel. */
final class NettyCallChannel implements CallChannel {

  private final Channel channel;

  NettyCallChannel(Channel channel) {
    this.channel = channel;
  }

  @Override
  public void send(CallFrame frame) {
    channel.writeAndFlush(frame, channel.voidPromise());
  }

  @Override
  public void close() {
    channel.close();
  }

  @Override
  public boolean isOpen() {
    return channel.isActive();
  }

  @Override
  public String peer() {
    return String.valueOf(channel.remoteAddress());
  }
}
