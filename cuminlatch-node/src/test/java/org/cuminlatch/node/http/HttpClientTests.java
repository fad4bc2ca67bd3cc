package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cuminlatch.core.membership.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The HTTP client")
class HttpClientTests {

  private static final int WAIT_SECONDS = 20;
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int MAX_BUFFERED_BYTES = 2 << 20;

  /** More than the buffers of a connection hold, so that the request is still being written. */
  private static final int LARGE_REQUEST_BYTES = 16 << 20;

  /** Time in which the client receives what the server has written. */
  private static final long RECEIVE_MILLIS = 100;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ServerSocket listener;
  private HttpClient client;

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Address address = new Address("127.0.0.1", listener.getLocalPort());
    client =
        new HttpClient(
            group,
            address,
            InstantSource.system(),
            Duration.ofSeconds(WAIT_SECONDS),
            MAX_BODY_BYTES,
            MAX_BUFFERED_BYTES);
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Sends a request and returns how it ends: a response or a failure. */
  private CompletableFuture<Object> send() {
    return send("GET", new byte[0]);
  }

  private CompletableFuture<Object> send(String method, byte[] body) {
    CompletableFuture<Object> end = new CompletableFuture<>();
    ClientRequest request =
        new ClientRequest(
            method,
            "/",
            List.of(Map.entry("Host", "shop.example")),
            body,
            Duration.ofSeconds(1),
            response ->
                response.header("Other").isPresent()
                    ? ResponseOwner.OTHER_REQUEST
                    : ResponseOwner.THIS_REQUEST);
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

    // guards against a part of a response without a length being taken for the whole one
    @RepeatedTest(5)
    void failsIfResponseWithoutLengthIsResetWhileRequestIsWritten() throws Exception {
      CompletableFuture<Object> end = send("POST", new byte[LARGE_REQUEST_BYTES]);
      try (Socket socket = listener.accept()) {
        socket.getInputStream().read(new byte[1024]);
        socket
            .getOutputStream()
            .write("HTTP/1.1 200 OK\r\nId: a\r\n\r\npart".getBytes(StandardCharsets.ISO_8859_1));
        Thread.sleep(RECEIVE_MILLIS);
        socket.setSoLinger(true, 0);
      }

      assertThat(end.get(WAIT_SECONDS, TimeUnit.SECONDS), instanceOf(ClientListener.Failure.class));
    }

    @Test
    void completesResponseWithoutLengthThatItEndsWhileRequestIsWritten() throws Exception {
      CompletableFuture<Object> end = send("POST", new byte[LARGE_REQUEST_BYTES]);
      try (Socket socket = listener.accept()) {
        socket.getInputStream().read(new byte[1024]);
        socket
            .getOutputStream()
            .write("HTTP/1.1 200 OK\r\nId: a\r\n\r\ndone".getBytes(StandardCharsets.ISO_8859_1));
        socket.shutdownOutput();

        ClientResponse response = (ClientResponse) end.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(response.body().length, is(4));
      }
    }
  }

  @Nested
  class WhenResponseHasNeitherLengthNorBody {

    private ClientResponse answer(String method, String bytes) throws Exception {
      CompletableFuture<Object> end = send(method, new byte[0]);
      try (Socket socket = listener.accept()) {
        socket.getInputStream().read(new byte[1024]);
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        return (ClientResponse) end.get(WAIT_SECONDS, TimeUnit.SECONDS);
      }
    }

    @Test
    void completesItWhileTheConnectionIsOpenIfRequestIsHead() throws Exception {
      assertThat(answer("HEAD", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n").status(), is(200));
    }

    @ParameterizedTest
    @ValueSource(strings = {"100 Continue", "103 Early Hints"})
    void skipsItIfItIsInterim(String status) throws Exception {
      String interim = "HTTP/1.1 " + status + "\r\n\r\n";
      String last = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\ndone";

      assertThat(answer("GET", interim + last).body().length, is(4));
    }
  }

  /** Guards against requests that wait until their deadline, and against callers that get 999. */
  @Nested
  class WhenTheStatusIsInvalid {

    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\n\r\n";

    private final List<String> invalid = new CopyOnWriteArrayList<>();

    /** Answers the next request and returns its end; the server keeps the connection open. */
    private Object answerAndStay(String bytes) throws Exception {
      client.listenForInvalidStatus(invalid::add);
      CompletableFuture<Object> end = send();
      try (Socket socket = listener.accept()) {
        socket.getInputStream().read(new byte[1024]);
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        Object result = end.get(WAIT_SECONDS, TimeUnit.SECONDS);
        if (result instanceof ClientListener.Failure) {
          socket.setSoTimeout(WAIT_SECONDS * 1000);
          assertThat("connection is closed", socket.getInputStream().read(), is(-1));
        }
        return result;
      }
    }

    private void assertFails(String status, String bytes) throws Exception {
      Object end = answerAndStay(bytes);
      assertThat(end, instanceOf(ClientListener.Failure.class));
      assertThat(((ClientListener.Failure) end).sent(), is(true));
      assertThat(invalid, contains(status));
    }

    @ParameterizedTest
    @ValueSource(
        strings = {"000", "001", "099", "101", "600", "999", "", "+99", "20", "2000", "OK"})
    void failsAtOnceAndCloses(String status) throws Exception {
      assertFails(status, "HTTP/1.1 " + status + " X\r\nId: a\r\nContent-Length: 4\r\n\r\ndone");
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "600", "2000"})
    void failsAtOnceWithoutBodyOrReason(String status) throws Exception {
      assertFails(status, "HTTP/1.1 " + status + "\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(strings = {"099", "600"})
    void failsIfItFollowsAnInterimResponse(String status) throws Exception {
      assertFails(status, INTERIM + "HTTP/1.1 " + status + " X\r\n\r\n");
    }

    // guards against the body of such a response being read as the response
    @ParameterizedTest
    @ValueSource(strings = {"099", "600", "2000", "x"})
    void failsIfItsBodyQuotesResponse(String status) throws Exception {
      String quoted = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
      assertFails(
          status,
          "HTTP/1.1 " + status + " X\r\nContent-Length: " + quoted.length() + "\r\n\r\n" + quoted);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 299, 304, 404, 599})
    void completesResponsesWithOtherStatus(int status) throws Exception {
      String head = "HTTP/1.1 " + status + " X\r\nId: a\r\nContent-Length: 0\r\n\r\n";

      assertThat(((ClientResponse) answerAndStay(INTERIM + head)).status(), is(status));
      assertThat(invalid, empty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"100", "102", "199"})
    void skipsInterimResponses(String status) throws Exception {
      String last = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\ndone";

      Object end = answerAndStay("HTTP/1.1 " + status + " X\r\n\r\n" + last);

      assertThat(((ClientResponse) end).status(), is(200));
      assertThat(invalid, empty());
    }
  }

  @Nested
  class WhenTheServerWritesWithoutEnd {

    /** Answers the next request with some bytes, repeated until the client closes. */
    private Object answerWithoutEnd(String first, String repeated) throws Exception {
      CompletableFuture<Object> end = send();
      try (Socket socket = listener.accept()) {
        socket.getInputStream().read(new byte[1024]);
        OutputStream out = socket.getOutputStream();
        out.write(first.getBytes(StandardCharsets.ISO_8859_1));
        byte[] block = repeated.repeat(1000).getBytes(StandardCharsets.ISO_8859_1);
        long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!end.isDone() && System.nanoTime() < giveUpAt) {
          out.write(block);
        }
        assertThat("the client still reads", end.isDone(), is(true));
      } catch (SocketException closedByClient) {
        // the request has ended
      }
      return end.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        quoteCharacter = '`',
        value = {
          "`` | x",
          "`` | `\r\n`",
          "`` | ` `",
          "`HTTP/1.1 200 OK\r\nA: ` | x",
          "`HTTP/1.1 200 OK\r\n` | `A: b\r\n`",
          "`` | `HTTP/1.1 100 Continue\r\n\r\n`",
          "`` | `HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 0\r\n\r\n`",
          "`HTTP/1.1 200 OK\r\n\r\n` | x",
          "`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n` | `1\r\nx\r\n`",
          "`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n` | 0",
          "`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n` | `A: b\r\n`",
        })
    void failsAndCloses(String first, String repeated) throws Exception {
      assertThat(answerWithoutEnd(first, repeated), instanceOf(ClientListener.Failure.class));
    }

    @Test
    void failsOnlyAsManyRequestsAsMemoryRequires() throws Exception {
      int requests = 8;
      byte[] part = new byte[700_000];
      List<Socket> sockets = new ArrayList<>();
      List<CompletableFuture<Object>> ends = new ArrayList<>();
      for (int i = 0; i < requests; i++) {
        ends.add(send());
        Socket socket = listener.accept();
        sockets.add(socket);
        socket.getInputStream().read(new byte[1024]);
        OutputStream out = socket.getOutputStream();
        out.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.write(part);
        int received = i + 1;
        int expectedFailures = Math.max(0, received - MAX_BUFFERED_BYTES / part.length);
        await(() -> failures(ends) == expectedFailures);
      }
      for (Socket socket : sockets) {
        socket.close();
      }
      for (CompletableFuture<Object> end : ends) {
        end.get(WAIT_SECONDS, TimeUnit.SECONDS);
      }
      assertThat(failures(ends), is(requests - MAX_BUFFERED_BYTES / part.length));
    }

    private int failures(List<CompletableFuture<Object>> ends) {
      return (int)
          ends.stream()
              .filter(CompletableFuture::isDone)
              .filter(end -> end.join() instanceof ClientListener.Failure)
              .count();
    }

    private void await(BooleanSupplier condition) throws InterruptedException {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
      while (!condition.getAsBoolean() && System.nanoTime() < end) {
        Thread.sleep(5);
      }
      assertThat(condition.getAsBoolean(), is(true));
    }
  }
}
