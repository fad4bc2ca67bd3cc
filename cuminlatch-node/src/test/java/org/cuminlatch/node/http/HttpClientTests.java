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
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.membership.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The HTTP client")
class HttpClientTests {

  private static final int WAIT_SECONDS = 20;
  private static final int MAX_BODY_BYTES = 1 << 20;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ServerSocket listener;
  private HttpClient client;

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Address address = new Address("127.0.0.1", listener.getLocalPort());
    client = new HttpClient(group, address, Duration.ofSeconds(WAIT_SECONDS), MAX_BODY_BYTES);
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Sends a request and returns how it ends: a response or a failure. */
  private CompletableFuture<Object> send() {
    CompletableFuture<Object> end = new CompletableFuture<>();
    ClientRequest request =
        new ClientRequest(
            "GET",
            "/",
            List.of(Map.entry("Host", "shop.example")),
            new byte[0],
            Duration.ofSeconds(1),
            response -> ResponseOwner.THIS_REQUEST);
    ClientListener clientListener =
        new ClientListener() {
          @Override
          public void onResponse(ClientResponse response) {
            end.complete(response);
          }

          @Override
          public void onFailure(Failure failure) {
            end.complete(failure);
          }
        };
    group.next().execute(() -> client.send(request, clientListener));
    return end;
  }

  /** Answers the next request with some bytes and closes or resets the connection. */
  private Object answerWith(String bytes, boolean reset) throws Exception {
    CompletableFuture<Object> end = send();
    try (Socket socket = listener.accept()) {
      socket.getInputStream().read(new byte[1024]);
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      if (reset) {
        socket.setSoLinger(true, 0);
      }
    }
    return end.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  private Object answerWith(String bytes) throws Exception {
    return answerWith(bytes, false);
  }

  @Nested
  class WhenTheServerBreaksOff {

    private void assertEachPrefixFails(String response) throws Exception {
      for (int length = 0; length < response.length(); length++) {
        Object end = answerWith(response.substring(0, length));
        assertThat("after " + length + " bytes", end, instanceOf(ClientListener.Failure.class));
      }
      assertThat(answerWith(response), instanceOf(ClientResponse.class));
    }

    @Test
    void failsAfterEachPartOfResponseWithLength() throws Exception {
      assertEachPrefixFails("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\ndone");
    }

    @Test
    void failsAfterEachPartOfChunkedResponse() throws Exception {
      assertEachPrefixFails(
          "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n");
    }

    @Test
    void failsAfterEachPartOfTheHeadOfResponseWithoutLength() throws Exception {
      String head = "HTTP/1.1 200 OK\r\nId: a\r\nStamp: b\r\n\r\n";
      for (int length = 0; length < head.length(); length++) {
        Object end = answerWith(head.substring(0, length));
        assertThat("after " + length + " bytes", end, instanceOf(ClientListener.Failure.class));
      }
      assertThat(((ClientResponse) answerWith(head + "done")).body().length, is(4));
    }

    @Test
    void failsIfResponseWithoutLengthIsReset() throws Exception {
      assertThat(
          answerWith("HTTP/1.1 200 OK\r\nId: a\r\n\r\ndone", true),
          instanceOf(ClientListener.Failure.class));
    }
  }
}
