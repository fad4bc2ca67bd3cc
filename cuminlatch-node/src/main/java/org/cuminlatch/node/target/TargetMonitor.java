package org.cuminlatch.node.target;

import static org.cuminlatch.core.Preconditions.notNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cuminlatch.core.membership.Member.Phase;

/**
 * Queries the health endpoint of the local target for its phase.
 *
 * <p>The phase only determines whether the target accepts new calls. It is never used as evidence
 * about a target version.
 */
public final class TargetMonitor {

  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(900);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client;
  private final HttpRequest request;

  private TargetMonitor(HttpClient client, HttpRequest request) {
    this.client = client;
    this.request = request;
  }

  /**
   * Creates a monitor for one target.
   *
   * @param client HTTP client to use
   * @param target base address of the target
   * @return the monitor
   */
  public static TargetMonitor of(HttpClient client, URI target) {
    notNull(client, "client");
    URI healthUri = notNull(target, "target").resolve("/health");
    return new TargetMonitor(
        client, HttpRequest.newBuilder(healthUri).timeout(REQUEST_TIMEOUT).build());
  }

  /**
   * Queries the health endpoint once.
   *
   * @return the phase; {@code STARTING} if the target does not answer or the answer is not
   *     recognized
   */
  public CompletableFuture<Phase> fetchPhase() {
    return client
        .sendAsync(request, BodyHandlers.ofByteArray())
        .handle((response, failure) -> failure == null ? parsePhase(response) : Phase.STARTING);
  }

  private static Phase parsePhase(HttpResponse<byte[]> response) {
    return switch (parseState(response.body())) {
      case "serving" -> Phase.SERVING;
      case "draining" -> Phase.DRAINING;
      default -> Phase.STARTING;
    };
  }

  private static String parseState(byte[] body) {
    try {
      return JSON.readTree(body).path("state").asText("");
    } catch (IOException malformed) {
      return "";
    }
  }
}
