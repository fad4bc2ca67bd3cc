package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.wire.proto.call.Answer;
import org.cuminlatch.wire.proto.call.CallFrame.KindCase;
import org.cuminlatch.wire.proto.call.FailureReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The gate of a target that is silent and takes no new connection")
class SilentTargetTests {

  private static final int MAX_WAIT_MILLIS = 20_000;
  private static final String HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n";
  private static final String FIRST_PART = "first,";
  private static final String SECOND_PART = "second";

  private ServerSocket listener;
  private GateFixture fixture;

  @BeforeEach
  void open() throws IOException, InterruptedException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    fixture = new GateFixture(4, new Address("127.0.0.1", listener.getLocalPort()));
  }

  @AfterEach
  void close() throws IOException {
    listener.close();
    fixture.close();
  }

  /** Passes an attempt to the target and returns the connection over which it was received. */
  private Socket passOn(boolean idempotent) throws IOException, InterruptedException {
    fixture.onLoop(() -> fixture.begin(1, idempotent));
    Socket socket = listener.accept();
    socket.getInputStream().read(new byte[1024]);
    return socket;
  }

  /** Takes no more connections and waits until the gate has noticed. */
  private void fallSilent() throws IOException, InterruptedException {
    listener.close();
    long end = System.nanoTime() + MAX_WAIT_MILLIS * 1_000_000L;
    while (!fixture.gate().isAbsent() && System.nanoTime() < end) {
      Thread.sleep(20);
      fixture.onLoop(fixture.gate()::sweep);
    }
    assertThat(fixture.gate().isAbsent(), is(true));
    fixture.onLoop(() -> {});
  }

  private static void write(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  // guards against the part that arrived before the silence being sent as the whole answer
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void awaitsTheRestOfAnAnswerThatHasBegun(boolean idempotent) throws Exception {
    try (Socket socket = passOn(idempotent)) {
      write(socket, HEAD_WITHOUT_LENGTH + FIRST_PART);

      fallSilent();
      write(socket, SECOND_PART);
    }

    Answer answer = fixture.awaitFrame(1, KindCase.ANSWER).getAnswer();
    assertThat(answer.getStatus(), is(200));
    assertThat(answer.getBody().toStringUtf8(), is(FIRST_PART + SECOND_PART));
  }

  @Test
  void awaitsTheAnswerToRequestThatCannotBeRepeated() throws Exception {
    try (Socket socket = passOn(false)) {
      fallSilent();
      write(socket, HEAD_WITHOUT_LENGTH + FIRST_PART);
    }

    Answer answer = fixture.awaitFrame(1, KindCase.ANSWER).getAnswer();
    assertThat(answer.getBody().toStringUtf8(), is(FIRST_PART));
  }

  @Test
  void givesUpRequestWithoutAnswerThatCanBeRepeated() throws Exception {
    try (Socket socket = passOn(true)) {
      fallSilent();

      assertThat(
          fixture.awaitFrame(1, KindCase.FAILURE).getFailure().getReason(),
          is(FailureReason.TARGET_BROKEN));
      assertThat(socket.getInputStream().read(), is(-1));
    }
  }
}
