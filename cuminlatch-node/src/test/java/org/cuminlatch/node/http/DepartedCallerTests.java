package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.config.CallerLimits;
import org.cuminlatch.node.event.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A request whose caller has left")
class DepartedCallerTests {

  private static final int WAIT_SECONDS = 20;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<String> handled = new CopyOnWriteArrayList<>();
  private final List<String> departed = new CopyOnWriteArrayList<>();
  private final List<String> abandoned = new CopyOnWriteArrayList<>();
  private HttpServer server;

  @BeforeEach
  void startServer() {
    server =
        HttpServer.listen(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            () -> CallerLimits.DEFAULT,
            EventLog.start(InstantSource.system(), "node"),
            new RecordingHandler());
  }

  @AfterEach
  void stopServer() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Answers all requests except those to paths that begin with {@code /pending}. */
  private final class RecordingHandler implements ExchangeHandler {

    @Override
    public void handle(ServerExchange exchange) {
      String path = exchange.requestTarget();
      handled.add(path);
      exchange.onCallerDisconnected(() -> departed.add(path));
      if (!path.startsWith("/pending")) {
        exchange.respond(200, List.of(), path.getBytes(StandardCharsets.UTF_8));
      }
    }

    @Override
    public void onAbandoned(ServerExchange exchange) {
      abandoned.add(exchange.requestTarget());
    }
  }

  /** Keeps the event loop busy until the returned latch is counted down. */
  private CountDownLatch blockLoop() throws InterruptedException {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    group
        .next()
        .execute(
            () -> {
              blocked.countDown();
              try {
                released.await(WAIT_SECONDS, TimeUnit.SECONDS);
              } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
              }
            });
    assertThat(blocked.await(WAIT_SECONDS, TimeUnit.SECONDS), is(true));
    return released;
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(server.address().getAddress(), server.address().getPort());
    socket.setSoTimeout(WAIT_SECONDS * 1000);
    return socket;
  }

  private static void send(Socket caller, String... paths) throws IOException {
    StringBuilder requests = new StringBuilder();
    for (String path : paths) {
      requests.append("GET ").append(path).append(" HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    }
    caller.getOutputStream().write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void readAnswer(Socket caller, String path) throws IOException {
    InputStream in = caller.getInputStream();
    StringBuilder answer = new StringBuilder();
    while (!answer.toString().endsWith("\r\n\r\n" + path)) {
      int next = in.read();
      assertThat("end of the connection after: " + answer, next >= 0, is(true));
      answer.append((char) next);
    }
    assertThat(answer.toString(), containsString("200 OK"));
  }

  /** Sends a request on a new connection and waits for its answer. */
  private void awaitAnswer(String path) throws IOException {
    try (Socket caller = connect()) {
      send(caller, path);
      readAnswer(caller, path);
    }
  }

  private static void await(List<String> list, String expected) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!list.contains(expected) && System.nanoTime() < end) {
      Thread.sleep(5);
    }
    assertThat(list.contains(expected), is(true));
  }

  @Nested
  class BeforeItWasRead {

    @Test
    void isNotHandledIfItCameOnNewConnection() throws Exception {
      CountDownLatch release = blockLoop();
      try (Socket caller = connect()) {
        send(caller, "/left");
      }
      release.countDown();
      awaitAnswer("/next");

      await(abandoned, "/left");
      assertThat(handled, contains("/next"));
    }

    @Test
    void isNotHandledIfItCameOnKeptConnection() throws Exception {
      try (Socket caller = connect()) {
        send(caller, "/first");
        readAnswer(caller, "/first");
        CountDownLatch release = blockLoop();
        send(caller, "/left");
        caller.close();
        release.countDown();
      }
      awaitAnswer("/next");

      await(abandoned, "/left");
      assertThat(handled, contains("/first", "/next"));
    }

    @Test
    void isNotHandledIfItsCallerClosedItsSendingSide() throws Exception {
      CountDownLatch release = blockLoop();
      try (Socket caller = connect()) {
        send(caller, "/left");
        caller.shutdownOutput();
        release.countDown();
        assertThat(caller.getInputStream().read(), is(-1));
      }

      await(abandoned, "/left");
      assertThat(handled, empty());
    }

    @Test
    void isNotHandledIfItsConnectionWasReset() throws Exception {
      CountDownLatch release = blockLoop();
      try (Socket caller = connect()) {
        send(caller, "/left");
        caller.setSoLinger(true, 0);
      }
      release.countDown();
      awaitAnswer("/next");

      await(abandoned, "/left");
      assertThat(handled, contains("/next"));
    }
  }

  @Nested
  class WhileItIsHandled {

    @Test
    void isReportedIfManyRequestsFollowItOnItsConnection() throws Exception {
      try (Socket caller = connect()) {
        send(caller, "/pending", "/2", "/3", "/4", "/5", "/6", "/7", "/8");
        await(handled, "/pending");
      }

      await(departed, "/pending");
      awaitAnswer("/next");
      assertThat(handled, contains("/pending", "/next"));
    }
  }
}
