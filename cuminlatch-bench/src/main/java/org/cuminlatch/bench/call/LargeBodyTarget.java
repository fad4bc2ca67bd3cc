package org.cuminlatch.bench.call;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Target that sends and receives large bodies. */
final class LargeBodyTarget implements AutoCloseable {

  static final int CHUNK_BYTES = 64 * 1024;

  private static final int STATUS_OK = 200;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpServer server;
  private final long bodyBytes;

  LargeBodyTarget(long bodyBytes) {
    this.bodyBytes = bodyBytes;
    try {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
    server.createContext("/", this::handle);
    server.setExecutor(threads);
    server.start();
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }

  private void handle(HttpExchange exchange) throws IOException {
    if (exchange.getRequestMethod().equals("GET")) {
      send(exchange);
    } else {
      receive(exchange);
    }
  }

  private void send(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(STATUS_OK, bodyBytes);
    try (OutputStream body = exchange.getResponseBody()) {
      byte[] chunk = new byte[CHUNK_BYTES];
      for (long remaining = bodyBytes; remaining > 0; remaining -= chunk.length) {
        body.write(chunk, 0, (int) Math.min(remaining, chunk.length));
      }
    }
  }

  private static void receive(HttpExchange exchange) throws IOException {
    long received = 0;
    try (InputStream body = exchange.getRequestBody()) {
      byte[] chunk = new byte[CHUNK_BYTES];
      for (int count = body.read(chunk); count >= 0; count = body.read(chunk)) {
        received += count;
      }
    }
    byte[] answer = Long.toString(received).getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(STATUS_OK, answer.length);
    exchange.getResponseBody().write(answer);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
