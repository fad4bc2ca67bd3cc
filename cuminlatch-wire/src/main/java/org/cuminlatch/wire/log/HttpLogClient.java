package org.cuminlatch.wire.log;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;

/**
 * HTTP client of the platform's log.
 *
 * <p>If there are several addresses, requests go to one of them until a request fails; the next
 * request then goes to the next address. The client never retries a request: an append whose
 * response is lost may have taken effect, and only the caller knows whether the record id makes a
 * retry safe.
 */
public final class HttpLogClient implements LogClient {

  private static final int STATUS_OK = 200;
  private static final int STATUS_GONE = 410;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;

  private final List<URI> addresses;
  private final Duration timeout;
  private final HttpClient http;
  private final AtomicInteger addressIndex = new AtomicInteger();

  private HttpLogClient(List<URI> addresses, Duration timeout) {
    this.addresses = List.copyOf(notNull(addresses, "addresses"));
    this.timeout = notNull(timeout, "timeout");
    check(!addresses.isEmpty(), "addresses", "must not be empty");
    check(timeout.compareTo(Duration.ZERO) > 0, "timeout", "must be positive");
    this.http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
  }

  /**
   * Creates a client.
   *
   * @param addresses base addresses of the log, each as {@code http://host:port}
   * @param timeout maximum time to wait for a response, in addition to the wait time of a read
   * @return the client
   */
  public static HttpLogClient create(List<URI> addresses, Duration timeout) {
    return new HttpLogClient(addresses, timeout);
  }

  @Override
  public CompletableFuture<Long> append(String stream, Bytes content) {
    URI address = address();
    HttpRequest request =
        HttpRequest.newBuilder(uri(address, stream, ""))
            .timeout(timeout)
            .POST(HttpRequest.BodyPublishers.ofByteArray(content.toArray()))
            .build();
    return sendRequest(request, Step.LOG_APPEND, address)
        .thenApply(response -> LogResponses.offset(requireOk(response, Step.LOG_APPEND, address)));
  }

  @Override
  public CompletableFuture<LogBatch> read(
      String stream, long from, int maxRecords, Duration maxWait) {
    URI address = address();
    return get(address, stream, from, maxRecords, maxWait)
        .thenApply(
            response -> LogResponses.batch(requireOk(response, Step.LOG_READ, address), from));
  }

  @Override
  public CompletableFuture<LogExtent> extent(String stream) {
    URI address = address();
    return get(address, stream, 0, 1, Duration.ZERO)
        .thenApply(
            response ->
                response.statusCode() == STATUS_GONE
                    ? LogResponses.extent(response.body())
                    : LogResponses.extent(requireOk(response, Step.LOG_READ, address)));
  }

  @Override
  public void close() {
    // HttpClient has no close method in Java 17; it stops once it is unreachable.
  }

  private CompletableFuture<HttpResponse<byte[]>> get(
      URI address, String stream, long from, int maxRecords, Duration maxWait) {
    String query = "?from=" + from + "&max=" + maxRecords + "&waitMillis=" + maxWait.toMillis();
    HttpRequest request =
        HttpRequest.newBuilder(uri(address, stream, query)).timeout(timeout.plus(maxWait)).build();
    return sendRequest(request, Step.LOG_READ, address);
  }

  private CompletableFuture<HttpResponse<byte[]>> sendRequest(
      HttpRequest request, Step step, URI address) {
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .handle(
            (response, failure) -> {
              if (failure != null) {
                addressIndex.incrementAndGet();
                throw unavailable(step, address, failure);
              }
              return response;
            });
  }

  private byte[] requireOk(HttpResponse<byte[]> response, Step step, URI address) {
    int status = response.statusCode();
    if (status == STATUS_OK) {
      return response.body();
    }
    String peer = address.getAuthority();
    if (status == STATUS_TOO_MANY_REQUESTS) {
      throw CuminlatchException.of(
          ErrorCode.LOG_RATE_LIMITED,
          step,
          peer,
          "the log rejected the request because its rate limit is exceeded");
    }
    if (status == STATUS_GONE) {
      throw CuminlatchException.of(
          ErrorCode.LOG_TRUNCATED, step, peer, "the log no longer retains the requested offset");
    }
    addressIndex.incrementAndGet();
    throw CuminlatchException.of(
        ErrorCode.LOG_UNAVAILABLE, step, peer, "the log answered with unexpected status " + status);
  }

  private static CuminlatchException unavailable(Step step, URI address, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return CuminlatchException.of(
        ErrorCode.LOG_UNAVAILABLE,
        step,
        address.getAuthority(),
        "the log did not answer: " + cause,
        cause);
  }

  private URI address() {
    return addresses.get(Math.floorMod(addressIndex.get(), addresses.size()));
  }

  private static URI uri(URI address, String stream, String query) {
    return address.resolve("/streams/" + stream + "/records" + query);
  }
}
