package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;

/** Reads operator pages from the first of several nodes that answers. */
final class NodePageReader {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final int STATUS_OK = 200;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final List<URI> nodes;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(REQUEST_TIMEOUT)
          .build();

  private NodePageReader(List<URI> nodes) {
    this.nodes = List.copyOf(nodes);
  }

  /**
   * Creates a reader.
   *
   * @param addresses one or more operator addresses of nodes, separated by commas
   * @return the reader
   * @throws CuminlatchException with {@code INVALID_SETTING} if an address is not of the form
   *     {@code http://host:port}
   */
  static NodePageReader of(String addresses) {
    List<URI> nodes = new ArrayList<>();
    for (String address : addresses.split(",")) {
      nodes.add(LogClients.httpAddress("--node", address.trim()));
    }
    return new NodePageReader(nodes);
  }

  /**
   * Reads a page.
   *
   * @param path path of the page
   * @param query query parameters by name
   * @return its JSON content
   * @throws CuminlatchException with {@code PEER_UNAVAILABLE} if no node answers
   */
  JsonNode read(String path, Map<String, String> query) {
    CuminlatchException lastFailure = null;
    for (URI node : nodes) {
      try {
        return read(node, path + encode(query));
      } catch (CuminlatchException e) {
        lastFailure = e;
      }
    }
    throw lastFailure;
  }

  private JsonNode read(URI node, String path) {
    HttpRequest request =
        HttpRequest.newBuilder(node.resolve(path)).timeout(REQUEST_TIMEOUT).build();
    try {
      HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode content = JSON.readTree(response.body());
      if (response.statusCode() != STATUS_OK) {
        String problem = content.path("error").asText("status " + response.statusCode());
        throw unavailable(node, path + ": " + problem, null);
      }
      return content;
    } catch (IOException e) {
      throw unavailable(node, "the node did not answer: " + e, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw unavailable(node, "interrupted", e);
    }
  }

  private static CuminlatchException unavailable(URI node, String problem, Throwable cause) {
    return CuminlatchException.of(
        ErrorCode.PEER_UNAVAILABLE, Step.FORWARD, node.getAuthority(), problem, cause);
  }

  private static String encode(Map<String, String> query) {
    StringBuilder text = new StringBuilder();
    query.forEach(
        (name, value) ->
            text.append(text.length() == 0 ? '?' : '&')
                .append(URLEncoder.encode(name, StandardCharsets.UTF_8))
                .append('=')
                .append(URLEncoder.encode(value, StandardCharsets.UTF_8)));
    return text.toString();
  }
}
