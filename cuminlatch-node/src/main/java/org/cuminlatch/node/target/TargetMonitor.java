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
 * Asks the target's health endpoint for its phase.
 *
 * <p>The answer is a hint: it opens and closes the target for new calls, and is never evidence
 * about a target version.
 */
public final class TargetMonitor {

  private static final Duration TIMEOUT = Duration.ofMillis(900);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client;
  private final HttpRequest request;

  private TargetMonitor(HttpClient client, HttpRequest request) {
    this.client = client;
    this.request = request;
  }

  /**
   * Creates a monitor of one target.
   *
   * @param client HTTP client to use
   * @param target base address of the target
   * @return the monitor
   */
  public static TargetMonitor of(HttpClient client, URI target) {
    notNull(client, "client");
    URI health = notNull(target, "target").resolve("/health");
    return new TargetMonitor(client, HttpRequest.newBuilder(health).timeout(TIMEOUT).build());
  }

  /**
   * Asks the target once.
   *
   * @return the phase; {@code STARTING} if the target does not answer or answers anything unknown
   */
  public CompletableFuture<Phase> ask() {
    return client
        .sendAsync(request, BodyHandlers.ofByteArray())
        .handle((response, failure) -> failure == null ? phaseOf(response) : Phase.STARTING);
  }

  private static Phase phaseOf(HttpResponse<byte[]> response) {
    return switch (stateOf(response.body())) {
      case "serving" -> Phase.SERVING;
      case "draining" -> Phase.DRAINING;
      default -> Phase.STARTING;
    };
  }

  private static String stateOf(byte[] body) {
    try {
      return JSON.readTree(body).path("state").asText("");
    } catch (IOException malformed) {
      return "";
    }
  }
}
