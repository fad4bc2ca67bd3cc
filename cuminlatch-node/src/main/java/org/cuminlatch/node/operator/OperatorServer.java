package org.cuminlatch.node.operator;

import static org.cuminlatch.core.Preconditions.notNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.core.membership.Address;

/** Serves {@link OperatorPage}s as JSON over HTTP, one request at a time. */
public final class OperatorServer implements AutoCloseable {

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int SERVER_ERROR = 500;
  private static final ObjectWriter JSON =
      new ObjectMapper()
          .registerModule(new Jdk8Module())
          .registerModule(new JavaTimeModule())
          .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
          .disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
          .writerWithDefaultPrettyPrinter();

  private final HttpServer server;
  private final ExecutorService executor;
  private final Map<String, OperatorPage> pages;

  private OperatorServer(
      HttpServer server, ExecutorService executor, Map<String, OperatorPage> pages) {
    this.server = server;
    this.executor = executor;
    this.pages = pages;
  }

  /**
   * Starts serving.
   *
   * @param listen address to listen on
   * @param pages pages by path
   * @return the running server
   * @throws CuminlatchException with {@code INVALID_SETTING} if the address cannot be used
   */
  public static OperatorServer start(Address listen, Map<String, OperatorPage> pages) {
    notNull(listen, "listen");
    HttpServer http = bind(listen);
    ExecutorService executor =
        Executors.newSingleThreadExecutor(task -> new Thread(task, "operator"));
    OperatorServer server = new OperatorServer(http, executor, Map.copyOf(pages));
    http.setExecutor(executor);
    http.createContext("/", server::handle);
    http.start();
    return server;
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }

  private static HttpServer bind(Address listen) {
    try {
      return HttpServer.create(new InetSocketAddress(listen.host(), listen.port()), 0);
    } catch (IOException failure) {
      throw CuminlatchException.of(
          ErrorCode.INVALID_SETTING,
          Step.SETTINGS,
          listen.toString(),
          "operator.listen: found " + listen + ", expected an address that is free",
          failure);
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      OperatorPage page = pages.get(exchange.getRequestURI().getPath());
      if (page == null) {
        respond(exchange, NOT_FOUND, Map.of("pages", pages.keySet()));
      } else if (!page.method().equals(exchange.getRequestMethod())) {
        respond(exchange, METHOD_NOT_ALLOWED, Map.of("wants", page.method()));
      } else {
        respondWithPage(exchange, page);
      }
    }
  }

  private static void respondWithPage(HttpExchange exchange, OperatorPage page) throws IOException {
    try {
      respond(exchange, OK, page.content().apply(queryParameters(exchange)));
    } catch (IllegalArgumentException badRequest) {
      respond(exchange, BAD_REQUEST, Map.of("error", String.valueOf(badRequest.getMessage())));
    } catch (RuntimeException failure) {
      respond(exchange, SERVER_ERROR, Map.of("error", String.valueOf(failure)));
    }
  }

  private static Map<String, String> queryParameters(HttpExchange exchange) {
    Map<String, String> query = new LinkedHashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      Arrays.stream(raw.split("&"))
          .map(pair -> pair.split("=", 2))
          .filter(pair -> pair.length == 2)
          .forEach(pair -> query.put(decode(pair[0]), decode(pair[1])));
    }
    return query;
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  private static void respond(HttpExchange exchange, int status, Object content)
      throws IOException {
    byte[] body = encode(content);
    exchange.getResponseHeaders().set("content-type", "application/json");
    exchange.sendResponseHeaders(status, body.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(body);
    }
  }

  private static byte[] encode(Object content) throws JsonProcessingException {
    return JSON.writeValueAsBytes(content);
  }
}
