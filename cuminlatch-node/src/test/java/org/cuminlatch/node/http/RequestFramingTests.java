package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.startsWith;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.config.CallerLimits;
import org.cuminlatch.node.event.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against the bytes of one request being read as a part of the next one (RFC 9112, 11.2).
 */
@DisplayName("A request in front of another one on its connection")
class RequestFramingTests {

  private static final int WAIT_MILLIS = 20_000;

  /** More than the buffers of a connection hold, so that the body is still being written. */
  private static final int SENT_BYTES = 8 << 20;

  private static final String START = "POST /1 HTTP/1.1\r\nHost: shop.example\r\n";
  private static final String CHUNKED = START + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String NEXT =
      "GET /2 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<String> handled = new CopyOnWriteArrayList<>();
  private final HttpServer server =
      HttpServer.listen(
          group,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          () -> CallerLimits.DEFAULT,
          EventLog.start(InstantSource.system(), "node"),
          this::handle);

  @AfterEach
  void stopServer() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private void handle(ServerExchange exchange) {
    String body = new String(exchange.body(), StandardCharsets.ISO_8859_1);
    handled.add(exchange.method() + " " + exchange.requestTarget() + " " + body);
    exchange.respond(200, List.of(), new byte[0]);
  }

  /** Sends the parts one after the other and returns what is answered until the end. */
  private String exchange(String... parts) throws Exception {
    try (Socket caller = new Socket(server.address().getAddress(), server.address().getPort())) {
      caller.setTcpNoDelay(true);
      caller.setSoTimeout(WAIT_MILLIS);
      for (String part : parts) {
        write(caller, part);
        Thread.sleep(1);
      }
      byte[] answers = caller.getInputStream().readAllBytes();
      return new String(answers, StandardCharsets.ISO_8859_1);
    }
  }

  private static void write(Socket caller, String bytes) throws IOException {
    caller.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        START + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc",
        START + "Content-Length: +3\r\n\r\nabc",
        START + "Content-Length : 3\r\n\r\nabc",
        START + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        START + "Transfer-Encoding: gzip\r\n\r\n",
        START + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        START + "Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n\r\nabc",
        START + "Other: y\n\r\n",
        CHUNKED + "100000005\r\nabcde\r\n0\r\n\r\n",
        CHUNKED + "0x5\r\nabcde\r\n0\r\n\r\n",
        CHUNKED + "5;extension\n\r\nabcde\r\n0\r\n\r\n",
        CHUNKED + "5\r\nabcdefg\r\n0\r\n\r\n",
        CHUNKED + "5\r\nabcde0\r\n\r\n",
        CHUNKED + "0\r\nno colon\r\n\r\n",
      })
  void isRejectedTogetherWithItIfItsEndIsAmbiguous(String request) throws Exception {
    assertThat(exchange(request + NEXT), startsWith("HTTP/1.1 400 "));
    assertThat(handled, empty());
  }

  @ParameterizedTest
  @ValueSource(strings = {"gzip, chunked", "gzip\r\nTransfer-Encoding: chunked"})
  void isRejectedIfItsBodyHasAnotherTransferCoding(String codings) throws Exception {
    String request = START + "Transfer-Encoding: " + codings + "\r\n\r\n0\r\n\r\n";

    assertThat(exchange(request + NEXT), startsWith("HTTP/1.1 501 "));
    assertThat(handled, empty());
  }

  @RepeatedTest(5)
  void isAnsweredIfItIsRejectedWhileItsBodyIsSent() throws Exception {
    long length = CallerLimits.DEFAULT.maxBodyBytes() + 1;
    String head = START + "Content-Length: " + length + "\r\n\r\n";

    assertThat(exchange(head, "x".repeat(SENT_BYTES)), startsWith("HTTP/1.1 413 "));
  }

  @Test
  void keepsItsTrailersToItself() throws Exception {
    exchange(CHUNKED + "2\r\nab\r\n0\r\nContent-Length: 9\r\nHost: other\r\n\r\n" + NEXT);

    assertThat(handled, contains("POST /1 ab", "GET /2 "));
  }

  @Test
  void isReadWholeWhereverItIsCut() throws Exception {
    String bytes = CHUNKED + "2\r\nab\r\n0\r\n\r\n\r\n" + NEXT;
    for (int cut = 1; cut < bytes.length(); cut++) {
      handled.clear();
      exchange(bytes.substring(0, cut), bytes.substring(cut));

      assertThat("cut at " + cut, handled, contains("POST /1 ab", "GET /2 "));
    }
  }
}
