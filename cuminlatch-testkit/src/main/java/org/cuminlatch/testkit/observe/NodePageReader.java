package org.cuminlatch.testkit.observe;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;

/** Reads the operator pages of one node. */
public final class NodePageReader {

  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client;
  private final String instance;
  private final String address;

  private NodePageReader(HttpClient client, String instance, String address) {
    this.client = client;
    this.instance = instance;
    this.address = address;
  }

  /**
   * Creates a reader.
   *
   * @param client HTTP client to use
   * @param instance name of the instance
   * @param address {@code host:port} of the operator pages
   * @return the reader
   */
  public static NodePageReader of(HttpClient client, String instance, String address) {
    return new NodePageReader(
        notNull(client, "client"), notBlank(instance, "instance"), notBlank(address, "address"));
  }

  /**
   * Samples the node's configuration.
   *
   * @param at time since the start of the observer
   * @return the sample, empty if the node does not answer
   */
  public Optional<NodeSample> sample(Duration at) {
    return page("/status")
        .flatMap(status -> page("/routes").map(routes -> sampleOf(at, status, routes)));
  }

  /**
   * Reads a page.
   *
   * @param path path of the page
   * @return its JSON content, empty if the node does not answer
   */
  public Optional<JsonNode> page(String path) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(REQUEST_TIMEOUT)
            .build();
    try {
      return Optional.of(JSON.readTree(client.send(request, BodyHandlers.ofByteArray()).body()));
    } catch (IOException unreachable) {
      return Optional.empty();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private NodeSample sampleOf(Duration at, JsonNode status, JsonNode routes) {
    return new NodeSample(
        instance,
        at,
        status.path("ready").asBoolean(),
        status.path("configVersion").asLong(),
        status.path("stateHash").asText(""),
        countDanglingRoutes(routes));
  }

  private static int countDanglingRoutes(JsonNode page) {
    int count = 0;
    for (JsonNode route : page.path("routes")) {
      if (!page.path("services").has(route.path("service").asText())) {
        count++;
      }
    }
    return count;
  }
}
