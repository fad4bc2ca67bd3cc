package org.cuminlatch.node.call;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** HTTP target whose behaviour is set by a test; counts the requests that it runs. */
final class ScriptedTarget implements AutoCloseable {

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger runs = new AtomicInteger();
  private volatile Behaviour behaviour = exchange -> answer(exchange, 200, "ok");

  ScriptedTarget() {
    JdkHttpProperties.configure();
    try {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
    server.createContext("/", this::handle);
    server.createContext("/health", exchange -> answer(exchange, 200, "{\"state\":\"serving\"}"));
    server.setExecutor(threads);
    server.start();
  }

  URI uri() {
    return URI.create(
        "http://" + server.getAddress().getHostString() + ":" + server.getAddress().getPort());
  }

  int runs() {
    return runs.get();
  }

  void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  static void answer(HttpExchange exchange, int status, String text) throws IOException {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private void handle(HttpExchange exchange) throws IOException {
    runs.incrementAndGet();
    try {
      behaviour.handle(exchange);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  /** Handles a request in the way that a test needs. */
  interface Behaviour {

    void handle(HttpExchange exchange) throws IOException, InterruptedException;
  }
}
