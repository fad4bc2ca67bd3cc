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

/** Open-loop load generator that sends requests at a constant rate and checks each answer. */
public final class LoadGenerator {

  private static final String REQUEST_ID_HEADER = "x-request-id";
  private static final String NOT_RUN_HEADER = "x-cuminlatch-not-run";
  private static final String OUTCOME_HEADER = "x-cuminlatch-outcome";
  private static final String TARGET_VERSION_HEADER = "x-target-version";
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_GATEWAY_TIMEOUT = 504;

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
   * Sends the load and waits for all answers.
   *
   * @param options rate, duration and content of the load
   * @return one observation for each request
   */
  public static List<Observation> run(LoadOptions options) {
    return new LoadGenerator(notNull(options, "options")).run();
  }

  private List<Observation> run() {
    SplittableRandom random = new SplittableRandom(options.seed());
    long count = Math.round(options.ratePerSecond() * options.duration().toNanos() / 1e9);
    long intervalNanos = Math.round(1e9 / options.ratePerSecond());
    CompletableFuture<?>[] pending = new CompletableFuture<?>[(int) count];
    startNanos = System.nanoTime();
    for (int i = 0; i < count; i++) {
      waitUntil(startNanos + i * intervalNanos);
      pending[i] = send(i, random.nextDouble() < options.postShare());
    }
    CompletableFuture.allOf(pending).join();
    return List.copyOf(observations);
  }

  private static void waitUntil(long dueNanos) {
    long remainingNanos = dueNanos - System.nanoTime();
    while (remainingNanos > 0) {
      LockSupport.parkNanos(remainingNanos);
      remainingNanos = dueNanos - System.nanoTime();
    }
  }

  private CompletableFuture<Void> send(int number, boolean post) {
    String id = options.idPrefix() + "-" + number;
    String node = options.nodes().get(number % options.nodes().size());
    String path = options.paths().get(number / options.nodes().size() % options.paths().size());
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + node + path))
            .timeout(options.timeout())
            .header(REQUEST_ID_HEADER, id);
    if (post) {
      request.POST(BodyPublishers.ofByteArray(body));
    }
    byte[] expectedBody = expectedBody(id, path, post);
    long sentNanos = System.nanoTime();
    return client
        .sendAsync(request.build(), BodyHandlers.ofByteArray())
        .handle(
            (answer, failure) -> {
              observations.add(observe(id, post, answer, expectedBody, sentNanos));
              return null;
            });
  }

  private Observation observe(
      String id, boolean post, HttpResponse<byte[]> answer, byte[] expectedBody, long sentNanos) {
    return new Observation(
        id,
        !post,
        answer == null ? Outcome.UNKNOWN : outcome(answer, expectedBody),
        answer == null ? 0 : answer.statusCode(),
        answer == null ? "" : answer.headers().firstValue(TARGET_VERSION_HEADER).orElse(""),
        Duration.ofNanos(sentNanos - startNanos),
        Duration.ofNanos(System.nanoTime() - sentNanos));
  }

  private static Outcome outcome(HttpResponse<byte[]> answer, byte[] expectedBody) {
    if (answer.statusCode() == STATUS_OK) {
      return Arrays.equals(answer.body(), expectedBody) ? Outcome.OK : Outcome.WRONG_ANSWER;
    }
    if (hasHeader(answer, NOT_RUN_HEADER, "true") || hasHeader(answer, OUTCOME_HEADER, "not-run")) {
      return Outcome.NOT_RUN;
    }
    if (hasHeader(answer, OUTCOME_HEADER, "unknown")) {
      return Outcome.UNKNOWN;
    }
    boolean unknown =
        answer.statusCode() == STATUS_BAD_GATEWAY || answer.statusCode() == STATUS_GATEWAY_TIMEOUT;
    return unknown ? Outcome.UNKNOWN : Outcome.OTHER;
  }

  private static boolean hasHeader(HttpResponse<byte[]> answer, String header, String value) {
    return answer.headers().firstValue(header).filter(value::equals).isPresent();
  }

  private byte[] expectedBody(String id, String path, boolean post) {
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
