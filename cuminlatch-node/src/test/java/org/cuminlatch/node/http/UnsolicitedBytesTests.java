package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminlatch.node.http.RawServer.Responder;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("Bytes of a server that no request has asked for")
class UnsolicitedBytesTests {

  private static final int WAIT_SECONDS = 20;

  /** Time in which the client receives what the server has written. */
  private static final long RECEIVE_MILLIS = 15;

  private static final String FIRST =
      "HTTP/1.1 200 OK\r\nServer: x\r\nId: 1\r\nContent-Length: 4\r\n\r\ndone";

  private static final String FAILURE =
      "HTTP/1.1 500 Internal Server Error\r\nServer: x\r\nId: 2\r\n"
          + "Content-Length: 6\r\n\r\nfailed";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private volatile Instant now = Instant.EPOCH;

  private HttpClient clientOf(RawServer server) {
    return new HttpClient(
        group, server.address(), () -> now, Duration.ofSeconds(5), 1 << 20, 2 << 20);
  }

  private static ResponseOwner ownerOf(ClientResponse response, String id) {
    Optional<String> named = response.header("Id");
    if (named.isEmpty()) {
      return response.status() < 300 ? ResponseOwner.OTHER_REQUEST : ResponseOwner.UNNAMED;
    }
    return named.get().equals(id) ? ResponseOwner.THIS_REQUEST : ResponseOwner.OTHER_REQUEST;
  }

  /** Sends a request and passes on how it ends: a response or a failure. */
  private static void send(HttpClient client, String id, Consumer<Object> end) {
    ClientRequest request =
        new ClientRequest(
            "GET",
            "/",
            List.of(Map.entry("Host", "shop.example"), Map.entry("Id", id)),
            new byte[0],
            Duration.ofSeconds(5),
            response -> ownerOf(response, id));
    client.send(
        request,
        new ClientListener() {
          @Override
          public void onResponse(ClientResponse response) {
            end.accept(response);
          }

          @Override
          public void onFailure(Failure failure) {
            end.accept(failure);
          }
        });
  }

  private Object send(HttpClient client, String id) throws Exception {
    CompletableFuture<Object> end = new CompletableFuture<>();
    group.next().execute(() -> send(client, id, end::complete));
    return end.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  /** Sends two requests, one after the other, and returns how the second one ends. */
  private Object endOfSecond(Responder responder) throws Exception {
    try (RawServer server = new RawServer(responder)) {
      HttpClient client = clientOf(server);
      assertThat(send(client, "1"), instanceOf(ClientResponse.class));
      return send(client, "2");
    }
  }

  /** Sends the second request when the client has noticed the bytes behind the first response. */
  private Object endOfSecondAfterUnsolicitedBytes(Responder responder) throws Exception {
    try (RawServer server = new RawServer(responder)) {
      HttpClient client = clientOf(server);
      CompletableFuture<UnsolicitedBytes> unsolicited = new CompletableFuture<>();
      client.listenForUnsolicitedBytes(unsolicited::complete);
      assertThat(send(client, "1"), instanceOf(ClientResponse.class));
      unsolicited.get(WAIT_SECONDS, TimeUnit.SECONDS);
      return send(client, "2");
    }
  }

  private static String text(ClientResponse response) {
    return response.status() + " " + new String(response.body(), StandardCharsets.ISO_8859_1);
  }

  private static Matcher<Object> failureOfTheServer() {
    return is((Object) "500 failed");
  }

  private static Object textOrFailure(Object end) {
    return end instanceof ClientResponse response ? text(response) : end;
  }

  @Nested
  class ReceivedBeforeTheNextRequest {

    // guards against a part of a late second answer becoming the status of the next one
    @Test
    void doNotBecomePartOfItsResponseWhereverTheyAreCut() throws Exception {
      for (int cut = 1; cut <= FIRST.length(); cut++) {
        String piece = FIRST.substring(0, cut);
        Object end =
            endOfSecondAfterUnsolicitedBytes(
                (id, connection) -> {
                  connection.write(id.equals("1") ? FIRST : FAILURE);
                  if (id.equals("1")) {
                    Thread.sleep(1);
                    connection.write(piece);
                  }
                });
        assertThat("after " + cut + " bytes", textOrFailure(end), failureOfTheServer());
      }
    }

    // guards against bytes that share a read with the first answer
    @Test
    void doNotBecomePartOfItsResponseIfReceivedWithThePreviousOne() throws Exception {
      for (int cut = 1; cut <= FIRST.length(); cut++) {
        String piece = FIRST.substring(0, cut);
        Object end =
            endOfSecondAfterUnsolicitedBytes(
                (id, connection) -> connection.write(id.equals("1") ? FIRST + piece : FAILURE));
        assertThat("after " + cut + " bytes", textOrFailure(end), failureOfTheServer());
      }
    }

    // guards against sending the next request on a connection that still holds unread bytes
    @Test
    void doNotBecomePartOfItsResponseIfItIsSentWhenThePreviousOneEnds() throws Exception {
      for (int cut = 1; cut <= FIRST.length(); cut++) {
        String piece = FIRST.substring(0, cut);
        try (RawServer server =
            new RawServer(
                (id, connection) -> connection.write(id.equals("1") ? FIRST + piece : FAILURE))) {
          HttpClient client = clientOf(server);
          CompletableFuture<Object> end = new CompletableFuture<>();
          group.next().execute(() -> send(client, "1", first -> send(client, "2", end::complete)));
          Object second = end.get(WAIT_SECONDS, TimeUnit.SECONDS);
          assertThat("after " + cut + " bytes", textOrFailure(second), failureOfTheServer());
        }
      }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "x", "no answer", "HTTP/1.1 200 OK\r\n\r\n"})
    void areNotTakenForTheStartOfTheNextResponse(String bytes) throws Exception {
      Object end =
          endOfSecondAfterUnsolicitedBytes(
              (id, connection) -> connection.write(id.equals("1") ? FIRST + bytes : FAILURE));
      assertThat(textOrFailure(end), failureOfTheServer());
    }

    // guards against reusing a connection whose input the event loop has not read yet
    @Test
    void doNotBecomePartOfItsResponseIfTheyAreUnread() throws Exception {
      CompletableFuture<RawServer.Connection> first = new CompletableFuture<>();
      Responder responder =
          (id, connection) -> {
            connection.write(id.equals("1") ? FIRST : FAILURE);
            first.complete(connection);
          };
      try (RawServer server = new RawServer(responder)) {
        HttpClient client = clientOf(server);
        send(client, "1");
        CompletableFuture<Object> end = new CompletableFuture<>();
        Runnable sendWhileUnread =
            () -> {
              try {
                first.get().write(FIRST.substring(0, 30));
                Thread.sleep(RECEIVE_MILLIS);
                send(client, "2", end::complete);
              } catch (Exception unexpected) {
                end.completeExceptionally(unexpected);
              }
            };
        group.next().execute(sendWhileUnread);
        assertThat(textOrFailure(end.get(WAIT_SECONDS, TimeUnit.SECONDS)), failureOfTheServer());
        assertThat(server.connections(), is(2));
      }
    }
  }

  @Nested
  class ReceivedAfterTheNextRequest {

    private Object endAfter(String bytes, boolean inPieces) throws Exception {
      return endOfSecond(
          (id, connection) -> {
            if (id.equals("1")) {
              connection.write(FIRST);
            } else if (inPieces) {
              connection.write(bytes);
              Thread.sleep(RECEIVE_MILLIS);
              connection.write(FAILURE).close();
            } else {
              connection.write(bytes + FAILURE).close();
            }
          });
    }

    // guards against a part of a late second answer becoming the status of the awaited one
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void neverTurnFailureIntoSuccessWhereverTheyAreCut(boolean inPieces) throws Exception {
      for (int cut = 1; cut <= FIRST.length(); cut++) {
        Object end = endAfter(FIRST.substring(0, cut), inPieces);
        if (end instanceof ClientResponse response) {
          assertThat("after " + cut + " bytes", text(response), is("500 failed"));
        }
      }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doNotKeepTheResponseBackIfTheyAreWhole(boolean inPieces) throws Exception {
      assertThat(textOrFailure(endAfter(FIRST, inPieces)), failureOfTheServer());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doNotKeepTheResponseBackIfTheyAreCutInTheBody(boolean inPieces) throws Exception {
      String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5000\r\n\r\n";
      for (String body : List.of("", "x", "\r\n", "a: b\r\n\r\n", "x".repeat(1000))) {
        Object end = endAfter(head + body, inPieces);
        assertThat("after " + body.length() + " bytes", textOrFailure(end), failureOfTheServer());
      }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.1 404 Not Found\r\n\r\nx"})
    void doNotKeepTheResponseBackIfTheyQuoteStatusLine(String body) throws Exception {
      String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + body.length() + "\r\n\r\n";

      assertThat(textOrFailure(endAfter(head + body, false)), failureOfTheServer());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void failItIfTheyAreCutBehindStatusLineInTheBody(boolean inPieces) throws Exception {
      String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5000\r\n\r\n";

      Object end = endAfter(head + "HTTP/1.1 200 OK", inPieces);

      assertThat(end, instanceOf(ClientListener.Failure.class));
    }

    @ParameterizedTest
    @ValueSource(
        strings = {"x", "x\n", "no answer", "HTTP/1.1", "HTTP/1.1 20", "HTTP/1.1 200", "\r\n"})
    void doNotKeepTheResponseBackIfTheyAreNoHead(String bytes) throws Exception {
      assertThat(textOrFailure(endAfter(bytes, false)), failureOfTheServer());
    }
  }

  @Nested
  class FromTimeToTime {

    private static final int REQUESTS = 6;

    private static String answer(String id) {
      return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\ndone";
    }

    /** Returns how many connections carry some requests after unsolicited bytes. */
    private int connectionsFor(Duration timeBetween) throws Exception {
      Responder responder =
          (id, connection) -> connection.write(id.equals("1") ? FIRST + "x" : answer(id));
      try (RawServer server = new RawServer(responder)) {
        HttpClient client = clientOf(server);
        send(client, "1");
        int before = server.connections();
        for (int i = 2; i < 2 + REQUESTS; i++) {
          now = now.plus(timeBetween);
          assertThat(send(client, "" + i), instanceOf(ClientResponse.class));
        }
        return server.connections() - before;
      }
    }

    // guards against losing responses to the second answers of a server that repeats itself
    @Test
    void giveEachOfTheNextRequestsItsOwnConnection() throws Exception {
      assertThat(connectionsFor(Duration.ofMillis(1)), is(REQUESTS));
    }

    @Test
    void areForgottenAfterSomeTime() throws Exception {
      assertThat(connectionsFor(Duration.ofSeconds(10)), is(1));
    }
  }

  @Nested
  class WithinTheResponse {

    private Object endOf(String bytes) throws Exception {
      try (RawServer server = new RawServer((id, connection) -> connection.write(bytes).close())) {
        return send(clientOf(server), "1");
      }
    }

    // guards against two broken copies of an answer being taken for a whole one
    @ParameterizedTest
    @CsvSource({"0", "1", "30", "99"})
    void failItIfItBeginsAgain(int sent) throws Exception {
      String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\n";
      String body = "x".repeat(100);

      assertThat(textOrFailure(endOf(head + body)), is("200 " + body));
      assertThat(
          endOf(head + body.substring(0, sent) + head + body),
          instanceOf(ClientListener.Failure.class));
    }

    // guards against a copy whose head comes in two reads
    @ParameterizedTest
    @ValueSource(ints = {2, 12, 40, 50})
    void failItIfTheRestOfItsCopyFollowsLater(int missing) throws Exception {
      String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\n";
      String body = "x".repeat(100);
      String copy = head + body;
      Responder responder =
          (id, connection) -> {
            connection.write(copy.substring(0, copy.length() - missing));
            connection.write(copy.substring(0, missing));
            connection.write(copy.substring(missing)).close();
          };
      try (RawServer server = new RawServer(responder)) {
        assertThat(send(clientOf(server), "1"), instanceOf(ClientListener.Failure.class));
      }
    }

    // guards against a copy whose blank line is taken for the end of a chunk
    @Test
    void failItIfTheyFitIntoItsChunk() throws Exception {
      String head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
      String copy = head + "64\r\n" + "x".repeat(100) + "\r\n0\r\n\r\n";
      int missing = head.length() - 2;

      Object end = endOf(head + "64\r\n" + "x".repeat(100 - missing) + copy);

      assertThat(end, instanceOf(ClientListener.Failure.class));
    }

    // guards against a late second answer between two pieces of an answer
    @Test
    void failItIfTheyAreResponseToAnotherRequest() throws Exception {
      String head = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 100\r\n\r\n";
      Object end =
          endOfSecond(
              (id, connection) -> {
                if (id.equals("1")) {
                  connection.write(FIRST);
                } else {
                  connection.write(head + "x".repeat(40) + FIRST + "x".repeat(60)).close();
                }
              });

      assertThat(end, instanceOf(ClientListener.Failure.class));
    }

    // guards against a second answer being taken for the end of one without a length
    @Test
    void failItIfItHasNoLengthAndBeginsAgain() throws Exception {
      String answer = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\ndone";

      assertThat(endOf(answer + answer), instanceOf(ClientListener.Failure.class));
    }

    // guards against a part of a second answer being taken for the end of one without a length
    @Test
    void failItIfItHasNoLengthAndItsHeadBeginsAgain() throws Exception {
      String answer = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\ndone";

      assertThat(endOf(answer + "HTTP/1.1 200 OK\r\nI"), instanceOf(ClientListener.Failure.class));
    }

    @Test
    void doNotSpoilAnEmptyResponseBeforeThem() throws Exception {
      String empty = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n";

      assertThat(textOrFailure(endOf(empty + empty)), is("200 "));
    }

    @Test
    void areItsBodyIfTheyNameNoRequest() throws Exception {
      String body = "HTTP/1.1 200 OK\r\nServer: x\r\n\r\ndone";
      String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + body.length() + "\r\n\r\n";

      assertThat(textOrFailure(endOf(head + body)), is("200 " + body));
    }

    @ParameterizedTest
    @ValueSource(strings = {"< HTTP/1.1 200 OK\n", "said HTTP/1.1 502 Bad Gateway\nretry:\n"})
    void areItsBodyIfTheyAreTextThatQuotesStatusLine(String body) throws Exception {
      assertThat(
          textOrFailure(endOf("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + body)), is("200 " + body));
    }

    @Test
    void arePartOfItsHeadIfNoOtherResponseCanPrecedeIt() throws Exception {
      String head = "HTTP/1.1 200 OK\r\nA: HTTP/1.1 502 Bad\r\nId: 1\r\nContent-Length: 4\r\n";

      assertThat(textOrFailure(endOf(head + "\r\ndone")), is("200 done"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 500 Failed", "OK HTTP/1.1 500 Failed"})
    void failItIfItsHeadHoldsAnotherStatusLine(String value) throws Exception {
      String head = "HTTP/1.1 200 OK\r\nA: " + value + "\r\nId: 2\r\n\r\n";
      Object end =
          endOfSecond(
              (id, connection) -> {
                if (id.equals("1")) {
                  connection.write(FIRST);
                } else {
                  connection.write(head).close();
                }
              });

      assertThat(end, not(instanceOf(ClientResponse.class)));
    }
  }
}
