package org.cuminlatch.testkit.load;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.cuminlatch.core.Preconditions.notNull;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/** Callers that send requests at a steady rate and check each answer. */
public final class LoadGenerator {

  private static final String REQUEST_ID = "x-request-id";
  private static final String TARGET_REFUSED = "x-cuminlatch-not-run";
  private static final String OUTCOME = "x-cuminlatch-outcome";
  private static final String VERSION = "x-target-version";
  private static final int OK = 200;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  static {
    System.setProperty("jdk.httpclient.disableRetryConnect", "true");
    System.setProperty("jdk.httpclient.keepalive.timeout", "20");
  }

  private final LoadOptions options;
  private final HttpClient client;
  private final byte[] body;
  private final Queue<Observation> observations = new ConcurrentLinkedQueue<>();
  private long startNanos;

  private LoadGenerator(LoadOptions options) {
    this.options = options;
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(options.timeout())
            .build();
    this.body = "b".repeat(options.bodyBytes()).getBytes(UTF_8);
  }

  /**
   * Sends the load and waits for its last answer.
   *
   * @param options the load
   * @return what the callers saw, one entry a request
   */
  public static List<Observation> run(LoadOptions options) {
    return new LoadGenerator(notNull(options, "options")).run();
  }

  private List<Observation> run() {
    SplittableRandom random = new SplittableRandom(options.seed());
    long count = Math.round(options.ratePerSecond() * options.length().toNanos() / 1e9);
    long intervalNanos = Math.round(1e9 / options.ratePerSecond());
    CompletableFuture<?>[] pending = new CompletableFuture<?>[(int) count];
    startNanos = System.nanoTime();
    for (int i = 0; i < count; i++) {
      awaitTurn(startNanos + i * intervalNanos);
      pending[i] = send(i, random.nextDouble() < options.postShare());
    }
    CompletableFuture.allOf(pending).join();
    return List.copyOf(observations);
  }

  private static void awaitTurn(long dueNanos) {
    long left = dueNanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = dueNanos - System.nanoTime();
    }
  }

  private CompletableFuture<Void> send(int number, boolean post) {
    String id = options.idPrefix() + "-" + number;
    String node = options.nodes().get(number % options.nodes().size());
    String path = options.paths().get(number / options.nodes().size() % options.paths().size());
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + node + path))
            .timeout(options.timeout())
            .header(REQUEST_ID, id);
    if (post) {
      request.POST(BodyPublishers.ofByteArray(body));
    }
    byte[] wanted = wanted(id, path, post);
    long sentNanos = System.nanoTime();
    return client
        .sendAsync(request.build(), BodyHandlers.ofByteArray())
        .handle(
            (answer, failure) -> {
              observations.add(observe(id, post, answer, wanted, sentNanos));
              return null;
            });
  }

  private Observation observe(
      String id, boolean post, HttpResponse<byte[]> answer, byte[] wanted, long sentNanos) {
    return new Observation(
        id,
        !post,
        answer == null ? Outcome.UNKNOWN : outcome(answer, wanted),
        answer == null ? 0 : answer.statusCode(),
        answer == null ? "" : answer.headers().firstValue(VERSION).orElse(""),
        Duration.ofNanos(sentNanos - startNanos),
        Duration.ofNanos(System.nanoTime() - sentNanos));
  }

  private static Outcome outcome(HttpResponse<byte[]> answer, byte[] wanted) {
    if (answer.statusCode() == OK) {
      return Arrays.equals(answer.body(), wanted) ? Outcome.OK : Outcome.WRONG_ANSWER;
    }
    if (says(answer, TARGET_REFUSED, "true") || says(answer, OUTCOME, "not-run")) {
      return Outcome.NOT_RUN;
    }
    if (says(answer, OUTCOME, "unknown")) {
      return Outcome.UNKNOWN;
    }
    boolean unknown = answer.statusCode() == BAD_GATEWAY || answer.statusCode() == GATEWAY_TIMEOUT;
    return unknown ? Outcome.UNKNOWN : Outcome.OTHER;
  }

  private static boolean says(HttpResponse<byte[]> answer, String header, String value) {
    return answer.headers().firstValue(header).filter(value::equals).isPresent();
  }

  private byte[] wanted(String id, String path, boolean post) {
    byte[] prefix = (id + "\n").getBytes(UTF_8);
    if (path.matches("/.*bytes/\\d{1,8}")) {
      byte[] repeated = new byte[Integer.parseInt(path.substring(path.lastIndexOf('/') + 1))];
      for (int i = 0; i < repeated.length; i++) {
        repeated[i] = prefix[i % prefix.length];
      }
      return repeated;
    }
    byte[] content = Arrays.copyOf(prefix, prefix.length + (post ? body.length : 0));
    System.arraycopy(body, 0, content, prefix.length, content.length - prefix.length);
    return content;
  }
}
