package org.cuminlatch.testkit.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads from stand-in targets how often they executed each request. */
public final class TargetExecutions {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final ObjectMapper JSON = new ObjectMapper();

  private TargetExecutions() {}

  /**
   * Sums the executions of all targets.
   *
   * @param targets addresses, {@code host:port}
   * @return number of executions by request ID
   * @throws IOException if a target does not answer
   * @throws InterruptedException if the thread is interrupted
   */
  public static Map<String, Integer> of(List<String> targets)
      throws IOException, InterruptedException {
    Map<String, Integer> executions = new HashMap<>();
    HttpClient client = HttpClient.newHttpClient();
    for (String target : targets) {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + target + "/admin/executions"))
              .timeout(REQUEST_TIMEOUT)
              .build();
      byte[] answer = client.send(request, HttpResponse.BodyHandlers.ofByteArray()).body();
      JsonNode byRequest = JSON.readTree(answer).get("byRequest");
      byRequest
          .fields()
          .forEachRemaining(
              entry -> executions.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
    }
    return executions;
  }
}
