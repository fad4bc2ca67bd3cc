package org.cuminlatch.node.call;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cuminlatch.node.http.ResponseStatus;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.Header;

/**
 * HTTP client of the local target.
 *
 * <p>Callbacks run on the client's own thread and must not block. If pooled connections no longer
 * deliver data, the pool is replaced; running requests keep their connections.
 */
final class TargetClient {

  static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration MIN_POOL_LIFETIME = Duration.ofSeconds(5);
  private static final String HEALTH_PATH = "/health";
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final URI target;
  private volatile HttpClient client = newClient();
  private Instant poolReplacedAt = Instant.MIN;

  TargetClient(URI target) {
    this.target = target;
  }

  private static HttpClient newClient() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .followRedirects(HttpClient.Redirect.NEVER)
        .connectTimeout(CONNECT_TIMEOUT)
        .executor(Runnable::run)
        .build();
  }

  /** Sends an attempt to the target; the subscriber receives the answer. */
  CompletableFuture<HttpResponse<Void>> run(
      RunningAttempt attempt, TargetAnswerSubscriber answer, Duration timeLeft) {
    return client.sendAsync(request(attempt, timeLeft), answer);
  }

  private HttpRequest request(RunningAttempt attempt, Duration timeLeft) {
    Begin begin = attempt.begin();
    HttpRequest.Builder request = HttpRequest.newBuilder(resolve(begin.getPath()));
    for (Header header : begin.getHeadersList()) {
      request.header(header.getName(), header.getValue());
    }
    request.setHeader(CallHeaders.DEADLINE_MILLIS, Long.toString(timeLeft.toMillis()));
    request.setHeader(
        CallHeaders.ATTEMPT, new AttemptToken(attempt.id(), attempt.treePosition()).format());
    return request.method(begin.getMethod(), publisher(attempt)).build();
  }

  private URI resolve(String path) {
    return URI.create(target.getScheme() + "://" + target.getRawAuthority() + path);
  }

  private static BodyPublisher publisher(RunningAttempt attempt) {
    Begin begin = attempt.begin();
    if (!begin.getBodyComplete()) {
      return attempt.body();
    }
    if (begin.getBody().isEmpty()) {
      return BodyPublishers.noBody();
    }
    return BodyPublishers.ofByteArray(begin.getBody().toByteArray());
  }

  /** Requests the target's health on a new connection; false if there is no answer in time. */
  CompletableFuture<Boolean> probe() {
    HttpRequest request =
        HttpRequest.newBuilder(resolve(HEALTH_PATH)).timeout(PROBE_TIMEOUT).build();
    return newClient()
        .sendAsync(request, BodyHandlers.discarding())
        .handle(
            (response, error) ->
                error == null
                    && ResponseStatus.isFinal(response.statusCode())
                    && response.statusCode() < MIN_SERVER_ERROR_STATUS);
  }

  /** Replaces the connection pool unless it is younger than {@link #MIN_POOL_LIFETIME}. */
  synchronized void replacePool(Instant now) {
    if (now.isBefore(poolReplacedAt.plus(MIN_POOL_LIFETIME))) {
      return;
    }
    poolReplacedAt = now;
    client = newClient();
  }

  /** Returns whether the error proves that the target received nothing of the request. */
  static boolean provesNotRun(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    return cause instanceof ConnectException
        || cause instanceof java.net.http.HttpConnectTimeoutException;
  }
}
