package org.cuminlatch.bench.call;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Baseline: one hop by the JDK's HTTP server and client that decides nothing.
 *
 * <p>What it adds is what the libraries and the machine's wake-ups cost before any routing.
 */
final class MinimalProxy implements AutoCloseable {

  private final URI target;
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(Runnable::run).build();

  MinimalProxy(URI target) {
    this.target = target;
    try {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
    server.createContext("/", this::forward);
    server.setExecutor(threads);
    server.start();
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }

  private void forward(HttpExchange exchange) throws IOException {
    HttpRequest request = HttpRequest.newBuilder(target.resolve(exchange.getRequestURI())).build();
    HttpResponse<byte[]> answer = client.sendAsync(request, BodyHandlers.ofByteArray()).join();
    exchange.sendResponseHeaders(answer.statusCode(), answer.body().length);
    exchange.getResponseBody().write(answer.body());
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
