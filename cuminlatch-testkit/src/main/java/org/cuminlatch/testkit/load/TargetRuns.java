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

/** Asks stand-in targets how often they ran each request. */
public final class TargetRuns {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final ObjectMapper JSON = new ObjectMapper();

  private TargetRuns() {}

  /**
   * Sums the runs of all targets up.
   *
   * @param targets addresses, {@code host:port}
   * @return how often each request ran, by request id
   * @throws IOException if a target does not answer
   * @throws InterruptedException if the thread is interrupted
   */
  public static Map<String, Integer> of(List<String> targets)
      throws IOException, InterruptedException {
    Map<String, Integer> runs = new HashMap<>();
    HttpClient client = HttpClient.newHttpClient();
    for (String target : targets) {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + target + "/admin/executions"))
              .timeout(TIMEOUT)
              .build();
      byte[] answer = client.send(request, HttpResponse.BodyHandlers.ofByteArray()).body();
      JsonNode counts = JSON.readTree(answer).get("byRequest");
      counts
          .fields()
          .forEachRemaining(e -> runs.merge(e.getKey(), e.getValue().asInt(), Integer::sum));
    }
    return runs;
  }
}
