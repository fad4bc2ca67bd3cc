package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.membership.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.EnumSource.Mode;

/** Guards against a part of a response being taken for the whole one. */
@DisplayName("A response that ends with its connection")
class ResponseWithoutLengthTests {

  private static final int WAIT_SECONDS = 20;
  private static final int PART_BYTES = 64 * 1024;

  /** More than the buffers of a connection hold, so that the request is still being written. */
  private static final int LARGE_REQUEST_PARTS = 256;

  /** Time in which the client receives what the server has written. */
  private static final long RECEIVE_MILLIS = 100;

  private static final String HEAD = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n";
  private static final String BODY = "some";

  /** Like a crash, or a close before the whole request was read. */
  private static final End RESET =
      socket -> {
        socket.setSoLinger(true, 0);
        socket.close();
      };

  private static final End SHUTDOWN = Socket::shutdownOutput;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ServerSocket listener;
  private HttpClient client;

  /** How the client sends the body of a request. */
  enum Form {
    IN_ONE_PIECE,
    STREAMED_WITH_LENGTH,
    STREAMED_IN_CHUNKS
  }

  /** Ends the connection after a response or a part of it. */
  @FunctionalInterface
  interface End {
    void apply(Socket socket) throws IOException;
  }

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    client =
        new HttpClient(
            group,
            new Address("127.0.0.1", listener.getLocalPort()),
            InstantSource.system(),
            Duration.ofSeconds(WAIT_SECONDS),
            1 << 20,
            2 << 20);
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private static ClientRequest request(byte[] body) {
    return new ClientRequest(
        "POST",
        "/",
        List.of(Map.entry("Host", "shop.example")),
        body,
        Duration.ofSeconds(1),
        response -> ResponseOwner.THIS_REQUEST);
  }

  /** A request of a form, which is sent when it is created. */
  private final class SentRequest extends RequestEnd {

    private final Form form;
    private final int parts;
    private final int partsAtOnce;
    private ClientUpload upload;

    SentRequest(Form form, int parts) {
      this(form, parts, parts);
    }

    /** Creates a request of which only some parts are sent at once. */
    SentRequest(Form form, int parts, int partsAtOnce) {
      this.form = form;
      this.parts = parts;
      this.partsAtOnce = partsAtOnce;
      group.next().execute(this::send);
    }

    private void send() {
      if (form == Form.IN_ONE_PIECE) {
        client.send(request(new byte[parts * PART_BYTES]), this);
      } else {
        upload = client.openUpload(Duration.ofSeconds(1), this);
      }
    }

    @Override
    public void onOpened() {
      long length = form == Form.STREAMED_WITH_LENGTH ? (long) parts * PART_BYTES : -1;
      upload.start(request(new byte[0]), length);
      for (int i = 1; i <= partsAtOnce; i++) {
        sendPart(i == parts);
      }
    }

    void sendPart(boolean last) {
      upload.send(new byte[PART_BYTES], last);
    }
  }

  /** Writes a response without a length once the request has begun, and ends the connection. */
  private Object respond(SentRequest request, End connectionEnd) throws Exception {
    try (Socket socket = accept()) {
      beginResponse(socket);
      Thread.sleep(RECEIVE_MILLIS);
      connectionEnd.apply(socket);
      return request.await(WAIT_SECONDS);
    }
  }

  private Socket accept() throws IOException {
    Socket socket = listener.accept();
    socket.setSoTimeout(WAIT_SECONDS * 1000);
    return socket;
  }

  private static void beginResponse(Socket socket) throws IOException {
    socket.getInputStream().read(new byte[1024]);
    socket.getOutputStream().write((HEAD + BODY).getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void assertIsIncomplete(Object end) {
    assertThat(end, instanceOf(ClientListener.Failure.class));
    assertThat(((ClientListener.Failure) end).sent(), is(true));
  }

  private static void assertIsComplete(Object end) {
    assertThat(end, instanceOf(ClientResponse.class));
    assertThat(((ClientResponse) end).body().length, is(BODY.length()));
  }

  @Nested
  class WhileTheRequestIsWritten {

    // guards against the end of the input counting although a failed write has reported the reset
    @ParameterizedTest
    @EnumSource(Form.class)
    void isIncompleteIfTheServerResetsIt(Form form) throws Exception {
      assertIsIncomplete(respond(new SentRequest(form, LARGE_REQUEST_PARTS), RESET));
    }

    @ParameterizedTest
    @EnumSource(Form.class)
    void isCompleteIfTheServerEndsIt(Form form) throws Exception {
      assertIsComplete(respond(new SentRequest(form, LARGE_REQUEST_PARTS), SHUTDOWN));
    }
  }

  @Nested
  class OnceTheRequestIsWritten {

    @ParameterizedTest
    @EnumSource(Form.class)
    void isIncompleteIfTheServerResetsIt(Form form) throws Exception {
      assertIsIncomplete(respond(new SentRequest(form, 1), RESET));
    }

    @ParameterizedTest
    @EnumSource(Form.class)
    void isCompleteIfTheServerEndsIt(Form form) throws Exception {
      assertIsComplete(respond(new SentRequest(form, 1), SHUTDOWN));
    }
  }

  @Nested
  class WhoseEndArrivesBeforeTheClientSendsTheNextPart {

    /** Ends the response while the client is busy; its next write comes before its next read. */
    private Object respondBeforeNextPart(Form form, End connectionEnd) throws Exception {
      SentRequest request = new SentRequest(form, 3, 1);
      CompletableFuture<Void> serverIsDone =
          new CompletableFuture<Void>().orTimeout(WAIT_SECONDS, TimeUnit.SECONDS);
      try (Socket socket = accept()) {
        socket.getInputStream().readNBytes(PART_BYTES);
        group
            .next()
            .execute(
                () -> {
                  serverIsDone.join();
                  request.sendPart(false);
                });
        beginResponse(socket);
        connectionEnd.apply(socket);
        serverIsDone.complete(null);
        return request.await(WAIT_SECONDS);
      }
    }

    // guards against the write that reports the reset, and not the read after it
    @ParameterizedTest
    @EnumSource(names = "IN_ONE_PIECE", mode = Mode.EXCLUDE)
    void isIncompleteIfTheServerResetsIt(Form form) throws Exception {
      assertIsIncomplete(respondBeforeNextPart(form, RESET));
    }

    @ParameterizedTest
    @EnumSource(names = "IN_ONE_PIECE", mode = Mode.EXCLUDE)
    void isCompleteIfTheServerEndsIt(Form form) throws Exception {
      assertIsComplete(respondBeforeNextPart(form, SHUTDOWN));
    }
  }
}
