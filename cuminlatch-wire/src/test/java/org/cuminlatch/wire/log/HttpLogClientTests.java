package org.cuminlatch.wire.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.wire.log.LogClient.LogBatch;
import org.cuminlatch.wire.log.LogClient.LogExtent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The HTTP client of the log")
class HttpLogClientTests {

  private static final Bytes CONTENT = Bytes.copyOf(new byte[] {1, 2, 3});

  private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
  private HttpServer server;
  private HttpLogClient client;
  private volatile int status = 200;
  private volatile String response = "";
  private volatile boolean closesConnection;

  @BeforeEach
  void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          requests.add(exchange.getRequestMethod() + " " + exchange.getRequestURI());
          exchange.getRequestBody().readAllBytes();
          if (closesConnection) {
            exchange.close();
            return;
          }
          byte[] body = response.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(status, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    client = HttpLogClient.create(List.of(address(server)), Duration.ofSeconds(20));
  }

  @AfterEach
  void stop() {
    client.close();
    server.stop(0);
  }

  @Test
  void appendsRecord() {
    response = "{\"offset\": 17}";
    assertThat(client.append("configuration", CONTENT).join(), is(17L));
    assertThat(requests, contains("POST /streams/configuration/records"));
  }

  @Test
  void readsRecords() {
    response =
        "{\"firstOffset\": 3, \"nextOffset\": 19, \"extra\": 1,"
            + " \"records\": [{\"offset\": 17, \"data\": \"AQID\"}]}";
    LogBatch batch = read();
    assertThat(batch, equalTo(new LogBatch(3, 19, List.of(new LogRecord(17, CONTENT)))));
    assertThat(
        requests, contains("GET /streams/configuration/records?from=17&max=9&waitMillis=50"));
  }

  @Test
  void findsTheExtentOfTruncatedStream() {
    status = 410;
    response = "{\"firstOffset\": 3, \"nextOffset\": 19}";
    assertThat(client.extent("checkpoints").join(), equalTo(new LogExtent(3, 19)));
  }

  @ParameterizedTest
  @CsvSource({"410, LOG_TRUNCATED", "503, LOG_UNAVAILABLE", "500, LOG_UNAVAILABLE"})
  void reportsTheErrorCodeOfFailedRead(int responseStatus, ErrorCode expected) {
    status = responseStatus;
    response = "{}";
    CuminlatchException error = failure(client.read("configuration", 17, 9, Duration.ZERO));
    assertThat(error.code(), is(expected));
    assertThat(error.step(), is(Step.LOG_READ));
    assertThat(error.peer(), is(address(server).getAuthority()));
  }

  @Test
  void reportsThatAppendsAreRateLimited() {
    status = 429;
    CuminlatchException error = failure(client.append("configuration", CONTENT));
    assertThat(error.code(), is(ErrorCode.LOG_RATE_LIMITED));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{\"firstOffset\": 3, \"nextOffset\": 19, \"records\": [{\"offset\": 17, \"da",
        "{\"firstOffset\": 3, \"nextOffset\": 19, \"records\": [{\"offset\": 17}]}",
        "{\"firstOffset\": 3, \"nextOffset\": 19, \"records\": [{\"offset\": 17, \"data\":\"?\"}]}",
        "{\"firstOffset\": 3, \"records\": []}"
      })
  void rejectsTruncatedOrMalformedResponse(String malformed) {
    response = malformed;
    CuminlatchException error = failure(client.read("configuration", 17, 9, Duration.ZERO));
    assertThat(error.code(), is(ErrorCode.LOG_UNAVAILABLE));
  }

  @Test
  void neverRetriesAppendWhoseResponseIsLost() {
    closesConnection = true;
    CuminlatchException error = failure(client.append("configuration", CONTENT));
    assertThat(error.code(), is(ErrorCode.LOG_UNAVAILABLE));
    assertThat(error.step(), is(Step.LOG_APPEND));
    assertThat(requests.size(), is(1));
  }

  @Test
  void neverRetriesAppendOnReusedConnection() {
    response = "{\"offset\": 4}";
    client.append("configuration", CONTENT).join();
    closesConnection = true;
    failure(client.append("configuration", CONTENT));
    assertThat(requests.size(), is(2));
  }

  @Nested
  class WithSeveralAddresses {

    @Test
    void usesTheNextAddressAfterFailure() throws IOException {
      HttpServer stoppedServer =
          HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
      URI unreachable = address(stoppedServer);
      stoppedServer.stop(0);
      response = "{\"offset\": 4}";
      try (HttpLogClient clientOfTwoAddresses =
          HttpLogClient.create(List.of(unreachable, address(server)), Duration.ofSeconds(20))) {
        failure(clientOfTwoAddresses.append("configuration", CONTENT));
        assertThat(clientOfTwoAddresses.append("configuration", CONTENT).join(), is(4L));
      }
    }
  }

  private LogBatch read() {
    return client.read("configuration", 17, 9, Duration.ofMillis(50)).join();
  }

  private static CuminlatchException failure(CompletableFuture<?> future) {
    CompletionException error = assertThrows(CompletionException.class, future::join);
    return (CuminlatchException) error.getCause();
  }

  private static URI address(HttpServer server) {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }
}
