package org.cuminlatch.wire.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Ping;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("A connection for forwarded calls")
class CallTransportTests {

  private static final int WAIT_SECONDS = 20;

  private final CallTransport transport = CallTransport.start(1);
  private final List<Long> received = new CopyOnWriteArrayList<>();
  private final CountDownLatch closed = new CountDownLatch(1);
  private final InetSocketAddress address =
      transport.listen(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          new CallFrameHandler() {
            @Override
            public void onFrame(CallChannel channel, CallFrame frame) {
              received.add(frame.getPing().getNonce());
            }

            @Override
            public void onClosed(CallChannel channel) {
              closed.countDown();
            }
          });

  @AfterEach
  void close() {
    transport.close();
  }

  private static byte[] frame(long nonce) throws IOException {
    byte[] content =
        CallFrame.newBuilder().setPing(Ping.newBuilder().setNonce(nonce)).build().toByteArray();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(content.length);
    out.write(content);
    return bytes.toByteArray();
  }

  /** Sends bytes with a frame before and one behind them, and waits for the end. */
  private void sendBetweenFrames(byte[] broken) throws Exception {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(frame(1));
    bytes.write(broken);
    bytes.write(frame(2));
    try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
      peer.setSoTimeout(WAIT_SECONDS * 1000);
      peer.getOutputStream().write(bytes.toByteArray());
      assertThat(closed.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {-1, Integer.MIN_VALUE, Integer.MAX_VALUE, CallTransport.MAX_FRAME_BYTES + 1})
  void deliversNoFrameBehindLengthOutOfBounds(int length) throws Exception {
    sendBetweenFrames(java.nio.ByteBuffer.allocate(Integer.BYTES).putInt(length).array());

    assertThat(received, contains(1L));
  }

  @Test
  void deliversNoFrameBehindUnreadableOne() throws Exception {
    sendBetweenFrames(new byte[] {0, 0, 0, 2, (byte) 0xff, (byte) 0xff});

    assertThat(received, contains(1L));
  }

  @Test
  void deliversNoFrameThatWasCutOff() throws Exception {
    byte[] whole = frame(1);
    try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
      peer.getOutputStream().write(whole, 0, whole.length - 1);
    }

    assertThat(closed.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
    assertThat(received, empty());
  }
}
