package org.cuminlatch.bench.call;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Target that answers every request immediately. */
final class ImmediateTarget implements AutoCloseable {

  private static final byte[] BODY =
      "{\"stock\":12}".getBytes(java.nio.charset.StandardCharsets.UTF_8);
  private static final int STATUS_OK = 200;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpServer server;

  ImmediateTarget() {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    try {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
    server.createContext("/", ImmediateTarget::answer);
    server.setExecutor(threads);
    server.start();
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }

  private static void answer(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(STATUS_OK, BODY.length);
    exchange.getResponseBody().write(BODY);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
