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

/** Target that sends and takes large bodies. */
final class BulkTarget implements AutoCloseable {

  static final int PART_BYTES = 64 * 1024;

  private static final int OK = 200;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpServer server;
  private final long bytes;

  BulkTarget(long bytes) {
    this.bytes = bytes;
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
      take(exchange);
    }
  }

  private void send(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(OK, bytes);
    try (OutputStream body = exchange.getResponseBody()) {
      byte[] part = new byte[PART_BYTES];
      for (long left = bytes; left > 0; left -= part.length) {
        body.write(part, 0, (int) Math.min(left, part.length));
      }
    }
  }

  private static void take(HttpExchange exchange) throws IOException {
    long taken = 0;
    try (InputStream body = exchange.getRequestBody()) {
      byte[] part = new byte[PART_BYTES];
      for (int count = body.read(part); count >= 0; count = body.read(part)) {
        taken += count;
      }
    }
    byte[] answer = Long.toString(taken).getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(OK, answer.length);
    exchange.getResponseBody().write(answer);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
