package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cuminlatch.core.config.CallerLimits;
import org.cuminlatch.node.event.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("A server with limits for its clients")
class ServerLimitTests {

  private static final int WAIT_MILLIS = 20_000;
  private static final int LARGE_BYTES = 600_000 - 1;
  private static final int MAX_CONNECTIONS = 5;

  /** Room for one large body, and as much again for small ones; none for an oversized one. */
  private final BodyBudget budget = new BodyBudget(1_200_000, 600_000, 0);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<String> handled = new CopyOnWriteArrayList<>();
  private final List<ServerExchange> pending = new CopyOnWriteArrayList<>();
  private final List<ServerLimit> reached = new CopyOnWriteArrayList<>();
  private final List<Socket> clients = new ArrayList<>();
  private final HttpServer server =
      HttpServer.listen(
          group,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          () -> CallerLimits.DEFAULT,
          new ServerLimits(budget, MAX_CONNECTIONS, Duration.ofSeconds(3), 1000, reached::add),
          EventLog.start(InstantSource.system(), "node"),
          new RecordingHandler());

  @AfterEach
  void stopServer() throws IOException {
    for (Socket client : clients) {
      client.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Rejects paths that begin with {@code /missing} and leaves {@code /pending} unanswered. */
  private final class RecordingHandler implements ExchangeHandler {

    @Override
    public Optional<Rejection> checkHead(ServerExchange head) {
      return head.requestTarget().startsWith("/missing")
          ? Optional.of(new Rejection("-", 404, "no route", OptionalDouble.empty()))
          : Optional.empty();
    }

    @Override
    public void handle(ServerExchange exchange) {
      handled.add(exchange.requestTarget() + " " + exchange.body().length);
      if (exchange.requestTarget().startsWith("/pending")) {
        pending.add(exchange);
      } else {
        exchange.respond(200, List.of(), new byte[0]);
      }
    }
  }

  private Socket connect() throws IOException {
    Socket client = new Socket(server.address().getAddress(), server.address().getPort());
    client.setSoTimeout(WAIT_MILLIS);
    clients.add(client);
    return client;
  }

  private static void write(Socket client, String bytes) throws IOException {
    client.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String head(String path, int length, String fields) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: shop.example\r\nContent-Length: "
        + length
        + "\r\n"
        + fields
        + "\r\n";
  }

  private static String read(Socket client) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf("\r\n\r\n") < 0) {
      int next = client.getInputStream().read();
      if (next < 0) {
        return text.toString();
      }
      text.append((char) next);
    }
    return text.toString();
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (!condition.getAsBoolean() && System.nanoTime() < end) {
      Thread.onSpinWait();
    }
    assertThat(condition.getAsBoolean(), is(true));
  }

  /** Sends a large body without its last byte, so that it occupies room. */
  private Socket occupy(String path) throws IOException {
    Socket client = connect();
    write(client, head(path, LARGE_BYTES, "") + "x".repeat(LARGE_BYTES - 1));
    await(() -> budget.reserved() >= LARGE_BYTES - 1);
    return client;
  }

  @Nested
  class WithoutRoomForLargeBody {

    @Test
    void refusesTheOneThatHasStopped() throws IOException {
      Socket stopped = occupy("/1");
      Socket next = connect();
      write(next, head("/2", LARGE_BYTES, "") + "x".repeat(LARGE_BYTES));

      assertThat(read(stopped), startsWith("HTTP/1.1 503 "));
      assertThat(read(next), startsWith("HTTP/1.1 200 "));
      assertThat(handled, contains("/2 " + LARGE_BYTES));
      assertThat(reached, contains(ServerLimit.BODY_BUDGET));
    }

    @Test
    void receivesSmallOnes() throws IOException {
      occupy("/1");
      Socket small = connect();
      write(small, head("/small", 9, "") + "x".repeat(9));

      assertThat(read(small), startsWith("HTTP/1.1 200 "));
    }

    @Test
    void goesOnOnceAnEarlierRequestIsAnswered() throws IOException {
      Socket first = connect();
      write(first, head("/pending", LARGE_BYTES, "") + "x".repeat(LARGE_BYTES));
      await(() -> pending.size() == 1);
      Socket next = connect();
      write(next, head("/2", LARGE_BYTES, "") + "x".repeat(LARGE_BYTES));
      await(budget::isAwaited);

      group.next().execute(() -> pending.get(0).respond(200, List.of(), new byte[0]));

      assertThat(read(first), startsWith("HTTP/1.1 200 "));
      assertThat(read(next), startsWith("HTTP/1.1 200 "));
      assertThat(reached, empty());
    }

    @Test
    void refusesOneThatHasWaitedForLong() throws IOException {
      Socket first = connect();
      write(first, head("/pending", LARGE_BYTES, "") + "x".repeat(LARGE_BYTES));
      await(() -> pending.size() == 1);
      Socket next = connect();
      write(next, head("/2", LARGE_BYTES, "") + "x".repeat(LARGE_BYTES - 1));

      assertThat(read(next), startsWith("HTTP/1.1 503 "));
      assertThat(handled, contains("/pending " + LARGE_BYTES));
    }
  }

  @Nested
  class AfterRequests {

    /** Guards against room that is lost, so that the server refuses bodies after a while. */
    @ParameterizedTest
    @ValueSource(strings = {"/1", "/missing", "/pending"})
    void hasAllRoomAgain(String path) throws IOException {
      for (int i = 0; i < 4; i++) {
        Socket client = connect();
        write(client, head(path, 2000, "a:\r\n".repeat(500)) + "x".repeat(i * 600));
        write(client, "x".repeat(10));
      }
      await(() -> server.connectionCount() == 4);
      for (Socket client : clients) {
        client.close();
      }

      await(() -> server.connectionCount() == 0 && budget.reserved() == 0);
      assertThat(budget.isAwaited(), is(false));
    }
  }

  @Nested
  class WhoseHandlerRejectsHead {

    @ParameterizedTest
    @ValueSource(
        strings = {
          "Content-Length: 60000000\r\n",
          "Transfer-Encoding: chunked\r\n",
          "Content-Length: 2\r\nExpect: 100-continue\r\n",
          "Content-Length: 60000000\r\nConnection: close\r\n"
        })
    void answersBeforeTheBody(String fields) throws IOException {
      Socket client = connect();
      write(client, "POST /missing HTTP/1.1\r\nHost: shop.example\r\n" + fields + "\r\n");

      assertThat(read(client), startsWith("HTTP/1.1 404 "));
      assertThat(handled, empty());
    }

    @Test
    void keepsTheConnectionOfShortBody() throws IOException {
      Socket client = connect();
      write(client, head("/missing", 5, "") + "12345" + head("/2", 3, "") + "abc");

      assertThat(read(client), startsWith("HTTP/1.1 404 "));
      client.getInputStream().readNBytes("no route\n".length());
      assertThat(read(client), startsWith("HTTP/1.1 200 "));
      assertThat(handled, contains("/2 3"));
    }

    @Test
    void answersAfterEarlierRequests() throws IOException {
      Socket client = connect();
      write(client, head("/pending", 3, "") + "abc" + head("/missing", 60_000_000, ""));
      await(() -> pending.size() == 1);

      group.next().execute(() -> pending.get(0).respond(200, List.of(), new byte[0]));

      String answers =
          new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(answers, startsWith("HTTP/1.1 200 "));
      assertThat(answers, containsString("HTTP/1.1 404 "));
    }
  }

  @Nested
  class WithSlowClients {

    @Test
    void refusesBodyBelowTheRate() throws IOException {
      Socket client = connect();
      write(client, head("/1", 2000, "") + "x");

      assertThat(read(client), startsWith("HTTP/1.1 503 "));
      assertThat(reached, contains(ServerLimit.BODY_RATE));
    }

    @Test
    void closesConnectionWhoseResponseIsNotRead() throws IOException {
      Socket client = connect();
      write(client, head("/pending", 3, "") + "abc");
      await(() -> pending.size() == 1);

      group.next().execute(() -> pending.get(0).respond(200, List.of(), new byte[16 << 20]));

      await(() -> server.connectionCount() == 0);
      assertThat(reached, contains(ServerLimit.RESPONSE_RATE));
    }

    @Test
    void closesTheOldestWithoutRequestForNewConnection() throws IOException {
      Socket oldest = connect();
      await(() -> server.connectionCount() == 1);
      for (int i = 0; i < MAX_CONNECTIONS; i++) {
        connect();
      }

      assertThat(read(oldest), is(""));
      assertThat(reached, hasItem(ServerLimit.CONNECTIONS));
      Socket newest = connect();
      write(newest, head("/1", 3, "") + "abc");
      assertThat(read(newest), startsWith("HTTP/1.1 200 "));
    }
  }
}
