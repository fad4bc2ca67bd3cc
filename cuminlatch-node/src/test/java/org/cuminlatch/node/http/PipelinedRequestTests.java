package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cuminlatch.core.config.CallerLimits;
import org.cuminlatch.node.event.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("Requests that a caller sends ahead of earlier responses")
class PipelinedRequestTests {

  private static final int WAIT_SECONDS = 20;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<String> handled = new CopyOnWriteArrayList<>();
  private final List<String> departed = new CopyOnWriteArrayList<>();
  private final Map<String, ServerExchange> exchanges = new ConcurrentHashMap<>();
  private HttpServer server;
  private Socket caller;

  @BeforeEach
  void startServer() throws IOException {
    server =
        HttpServer.listen(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            () -> CallerLimits.DEFAULT,
            EventLog.start(InstantSource.system(), "node"),
            new PendingHandler());
    caller = new Socket(server.address().getAddress(), server.address().getPort());
    caller.setSoTimeout(WAIT_SECONDS * 1000);
  }

  @AfterEach
  void stopServer() throws IOException {
    caller.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Leaves all requests unanswered; those to paths that begin with {@code /once} are ordered. */
  private final class PendingHandler implements ExchangeHandler {

    @Override
    public void handle(ServerExchange exchange) {
      String path = exchange.requestTarget();
      exchange.onCallerDisconnected(() -> departed.add(path));
      exchanges.put(path, exchange);
      handled.add(path);
    }

    @Override
    public boolean mayOverlap(ServerExchange exchange) {
      return !exchange.requestTarget().startsWith("/once");
    }
  }

  private void send(String... paths) throws IOException {
    for (String path : paths) {
      write("GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    }
  }

  private void write(String bytes) throws IOException {
    caller.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void onLoop(Runnable task) {
    group.next().submit(task).syncUninterruptibly();
  }

  private void respond(String path) {
    byte[] body = path.getBytes(StandardCharsets.UTF_8);
    onLoop(() -> exchanges.get(path).respond(200, List.of(), body));
  }

  private void awaitHandled(String... paths) {
    await(() -> handled.size() >= paths.length);
    assertThat(handled, contains(paths));
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean() && System.nanoTime() < end) {
      Thread.onSpinWait();
    }
    assertThat(condition.getAsBoolean(), is(true));
  }

  /** Reads one response and returns its head and body. */
  private String readResponse() throws IOException {
    String head = readHead();
    String text = head.toLowerCase(java.util.Locale.ROOT);
    int at = text.indexOf("content-length: ");
    if (at < 0) {
      return head;
    }
    int from = at + "content-length: ".length();
    int length = Integer.parseInt(text.substring(from, text.indexOf("\r\n", from)));
    return head
        + new String(caller.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
  }

  /** Reads the head of a response; it is empty at the end of the connection. */
  private String readHead() throws IOException {
    InputStream in = caller.getInputStream();
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return head.toString();
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private void assertResponses(String... paths) throws IOException {
    for (String path : paths) {
      assertThat(readResponse(), endsWith("\r\n\r\n" + path));
    }
  }

  private void assertNothingIsSent() throws IOException {
    caller.setSoTimeout(100);
    try {
      assertThat("byte " + caller.getInputStream().read(), false);
    } catch (SocketTimeoutException nothingSent) {
      caller.setSoTimeout(WAIT_SECONDS * 1000);
    }
  }

  @Nested
  class ThatMayOverlap {

    @Test
    void areHandledSideBySide() throws IOException {
      send("/1", "/2", "/3");

      awaitHandled("/1", "/2", "/3");
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "123", "132", "213", "231", "312", "321",
        })
    void areAnsweredInTheirOrder(String completions) throws IOException {
      send("/1", "/2", "/3");
      awaitHandled("/1", "/2", "/3");

      completions.chars().forEach(number -> respond("/" + (char) number));

      assertResponses("/1", "/2", "/3");
    }

    @Test
    void areNotAnsweredBeforeTheFirst() throws IOException {
      send("/1", "/2");
      awaitHandled("/1", "/2");

      respond("/2");

      assertNothingIsSent();
    }

    @Test
    void keepTheirOrderIfResponsesComeInParts() throws IOException {
      send("/1", "/2");
      awaitHandled("/1", "/2");

      onLoop(
          () -> {
            ServerExchange second = exchanges.get("/2");
            second.start(200, List.of(), 4);
            second.send(Unpooled.copiedBuffer("ab", StandardCharsets.US_ASCII));
          });
      onLoop(
          () -> {
            ServerExchange first = exchanges.get("/1");
            first.start(200, List.of(), 2);
            first.send(Unpooled.copiedBuffer("/1", StandardCharsets.US_ASCII));
            first.end();
          });
      onLoop(
          () -> {
            ServerExchange second = exchanges.get("/2");
            second.send(Unpooled.copiedBuffer("cd", StandardCharsets.US_ASCII));
            second.end();
          });

      assertResponses("/1", "abcd");
    }

    @Test
    void areAnsweredWithoutBodyOnlyToHead() throws IOException {
      write("HEAD /1 HTTP/1.1\r\nHost: shop.example\r\n\r\n");
      send("/2");
      awaitHandled("/1", "/2");

      respond("/2");
      respond("/1");

      assertThat(readHead(), endsWith("content-length: 2\r\n\r\n"));
      assertResponses("/2");
    }

    @Test
    void areStartedUpToBound() throws IOException {
      String[] paths = new String[ServerConnection.MAX_OVERLAPPING_REQUESTS + 2];
      for (int i = 0; i < paths.length; i++) {
        paths[i] = "/" + i;
      }
      send(paths);
      await(() -> handled.size() == ServerConnection.MAX_OVERLAPPING_REQUESTS);
      assertNothingIsSent();
      assertThat(handled.size(), is(ServerConnection.MAX_OVERLAPPING_REQUESTS));

      respond("/0");

      await(() -> handled.size() == ServerConnection.MAX_OVERLAPPING_REQUESTS + 1);
    }

    @Test
    void areNotReadOnIfTheyAreTooMany() throws IOException {
      String request =
          "POST /body HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 65536\r\n\r\n"
              + "x".repeat(65_536);
      Thread sender =
          new Thread(
              () -> {
                try {
                  for (int i = 0; i < 2000; i++) {
                    write(request);
                  }
                } catch (IOException closed) {
                  // the test has ended
                }
              });
      sender.setDaemon(true);
      sender.start();

      await(() -> handled.size() == ServerConnection.MAX_OVERLAPPING_REQUESTS);
      assertNothingIsSent();
      assertThat("all requests could be sent", sender.isAlive());
    }

    @Test
    void areAllEndedIfTheCallerLeaves() throws IOException {
      send("/1", "/2", "/3");
      awaitHandled("/1", "/2", "/3");
      respond("/2");

      caller.close();

      await(() -> departed.size() == 2);
      assertThat(departed, contains("/1", "/3"));
    }

    @Test
    void areAllEndedIfTheCallerClosesItsSendingSide() throws IOException {
      send("/1", "/2");
      awaitHandled("/1", "/2");

      caller.shutdownOutput();

      await(() -> departed.size() == 2);
    }
  }

  @Nested
  class ThatMustKeepTheirOrder {

    @Test
    void areStartedOnceAllEarlierOnesAreAnswered() throws IOException {
      send("/1", "/2", "/once", "/4");
      await(() -> handled.size() == 2);
      respond("/2");
      assertNothingIsSent();
      assertThat(handled, contains("/1", "/2"));

      respond("/1");
      assertResponses("/1", "/2");
      awaitHandled("/1", "/2", "/once");

      respond("/once");
      assertResponses("/once");
      awaitHandled("/1", "/2", "/once", "/4");
    }
  }

  @Nested
  class BehindOneThatClosesTheConnection {

    @Test
    void areNotHandled() throws IOException {
      send("/1");
      write("GET /2 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n");
      send("/3");
      awaitHandled("/1", "/2");

      respond("/2");
      respond("/1");

      assertResponses("/1", "/2");
      assertThat(readResponse(), is(""));
      assertThat(handled, contains("/1", "/2"));
    }

    @Test
    void areNotHandledIfItsAnswerBreaksOff() throws IOException {
      send("/1", "/2", "/once");
      awaitHandled("/1", "/2");

      onLoop(
          () -> {
            exchanges.get("/2").start(200, List.of(), 100);
            exchanges.get("/2").abort();
          });
      respond("/1");

      assertResponses("/1");
      assertThat(readResponse(), is(""));
      assertThat(handled, contains("/1", "/2"));
    }
  }

  @Nested
  class WhileTheServerDrains {

    @Test
    void areAnsweredIfTheyHaveBeenStarted() throws IOException {
      send("/1", "/2", "/once");
      awaitHandled("/1", "/2");

      onLoop(server::drain);
      respond("/1");
      respond("/2");

      assertResponses("/1", "/2");
      assertThat(readResponse(), is(""));
      assertThat(handled, contains("/1", "/2"));
    }

    @Test
    void doNotResetTheResponseIfMoreArriveAfterIt() throws IOException {
      send("/1");
      awaitHandled("/1");
      onLoop(server::drain);
      respond("/1");
      send("/2", "/3");

      assertResponses("/1");
      assertThat(readResponse(), is(""));
      assertThat(handled, contains("/1"));
    }
  }

  @Nested
  class BeforeOneThatWaitsForInterimResponse {

    private static final String FIRST = "GET /1 HTTP/1.1\r\nHost: shop.example\r\n\r\n";
    private static final String WAITING =
        "POST /2 HTTP/1.1\r\nHost: shop.example\r\n"
            + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n";

    private void assertIsContinuedAfterFirst() throws IOException {
      assertNothingIsSent();
      respond("/1");
      assertResponses("/1");
      assertThat(readHead(), startsWith("HTTP/1.1 100 "));
      write("ab");
      awaitHandled("/1", "/2");
    }

    @Test
    void areAnsweredBeforeTheInterimResponse() throws IOException {
      write(FIRST + WAITING);
      awaitHandled("/1");

      assertIsContinuedAfterFirst();
    }

    @Test
    void doNotPreventTheInterimResponse() throws IOException {
      write(FIRST);
      awaitHandled("/1");
      write(WAITING);

      assertIsContinuedAfterFirst();
    }
  }

  @Nested
  class BeforeMalformedOne {

    @Test
    void areAnsweredBeforeTheConnectionIsClosed() throws IOException {
      send("/1", "/2");
      write("GET /3 HTTP/1.1\r\nno colon\r\n\r\n");
      awaitHandled("/1", "/2");

      respond("/2");
      respond("/1");

      assertResponses("/1", "/2");
      assertThat(readResponse(), is(""));
      assertThat(departed, empty());
    }
  }

  /** Guards against a response whose missing bytes are taken from the one behind it. */
  @Nested
  class WhenPartOfTheirResponseCantBeWritten {

    private static final String PART = "part";

    private void respondInParts(String path) {
      ByteBuf unwritable = Unpooled.copiedBuffer(PART, StandardCharsets.US_ASCII);
      unwritable.release();
      onLoop(
          () -> {
            ServerExchange exchange = exchanges.get(path);
            exchange.start(200, List.of(), 3L * PART.length());
            exchange.send(Unpooled.copiedBuffer(PART, StandardCharsets.US_ASCII));
            exchange.send(unwritable);
            exchange.send(Unpooled.copiedBuffer(PART, StandardCharsets.US_ASCII));
            exchange.end();
          });
    }

    private String readToEnd() throws IOException {
      StringBuilder text = new StringBuilder();
      try {
        for (int next = caller.getInputStream().read(); next >= 0; ) {
          text.append((char) next);
          next = caller.getInputStream().read();
        }
      } catch (SocketTimeoutException stillOpen) {
        throw new AssertionError("connection is still open after " + text, stillOpen);
      }
      return text.toString();
    }

    @Test
    void areAnsweredNoMore() throws IOException {
      send("/a", "/b");
      awaitHandled("/a", "/b");

      respondInParts("/a");
      respond("/b");

      assertThat(readToEnd(), not(containsString("/b")));
    }

    @Test
    void areAnsweredNoMoreIfItWasHeldBack() throws IOException {
      send("/a", "/b", "/c");
      awaitHandled("/a", "/b", "/c");

      respondInParts("/b");
      respond("/c");
      respond("/a");

      assertThat(readToEnd(), not(containsString("/c")));
    }
  }
}
