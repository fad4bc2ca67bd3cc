package org.cuminlatch.testkit;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.CompletableFuture;

/** Sends HTTP requests to loopback. */
public final class HttpCalls {

  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private HttpCalls() {}

  /** Sends a GET request and waits for its answer. */
  public static HttpResponse<String> get(int port, String path, String... headers)
      throws IOException, InterruptedException {
    return CLIENT.send(request(port, path, headers).build(), BodyHandlers.ofString());
  }

  /** Sends a POST request and waits for its answer. */
  public static HttpResponse<String> post(int port, String path, String body, String... headers)
      throws IOException, InterruptedException {
    return CLIENT.send(
        request(port, path, headers).POST(BodyPublishers.ofString(body)).build(),
        BodyHandlers.ofString());
  }

  /** Sends a GET request without waiting for its answer. */
  public static CompletableFuture<HttpResponse<String>> getAsync(
      int port, String path, String... headers) {
    return CLIENT.sendAsync(request(port, path, headers).build(), BodyHandlers.ofString());
  }

  private static HttpRequest.Builder request(int port, String path, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
    return headers.length == 0 ? request : request.headers(headers);
  }
}
