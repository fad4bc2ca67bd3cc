package org.cuminlatch.bench.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** Sends HTTP requests to processes on the loopback interface. */
public final class LoopbackHttp {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(REQUEST_TIMEOUT)
          .build();

  private LoopbackHttp() {}

  /**
   * Sends a GET request and returns the status.
   *
   * @param port port on loopback
   * @param path path and query
   * @return the status, 0 if there is no response
   * @throws InterruptedException if the thread is interrupted
   */
  public static int status(int port, String path) throws InterruptedException {
    try {
      return CLIENT.send(request(port, path).build(), BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  /**
   * Sends a GET request and returns the body.
   *
   * @param port port on loopback
   * @param path path and query
   * @return the body, empty if there is no response
   * @throws InterruptedException if the thread is interrupted
   */
  public static String get(int port, String path) throws InterruptedException {
    try {
      HttpResponse<String> response =
          CLIENT.send(request(port, path).build(), BodyHandlers.ofString());
      return response.body();
    } catch (IOException e) {
      return "";
    }
  }

  /**
   * Sends a POST request without a body.
   *
   * @param port port on loopback
   * @param path path and query
   * @throws IOException if there is no response
   * @throws InterruptedException if the thread is interrupted
   */
  public static void post(int port, String path) throws IOException, InterruptedException {
    CLIENT.send(
        request(port, path).POST(BodyPublishers.noBody()).build(), BodyHandlers.discarding());
  }

  private static HttpRequest.Builder request(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
        .timeout(REQUEST_TIMEOUT);
  }
}
