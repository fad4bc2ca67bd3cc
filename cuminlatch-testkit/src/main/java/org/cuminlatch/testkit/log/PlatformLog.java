package org.cuminlatch.testkit.log;

import static org.cuminlatch.core.Preconditions.notNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.cuminlatch.testkit.http.Query;

/**
 * Stand-in for the platform's log over HTTP that keeps its records in memory.
 *
 * <p>A stream is created on first use. Waiting readers do not block a thread. Faults are injected
 * by requests to {@code /admin} or by the methods of this class.
 */
public final class PlatformLog implements AutoCloseable {

  private static final int WORKER_THREADS = 8;
  private static final int MAX_RECORD_BYTES = 16 * 1024 * 1024;
  private static final int MAX_RECORDS_PER_READ = 1_000;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
  }

  private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
  private final ExecutorService workers = Executors.newFixedThreadPool(WORKER_THREADS);
  private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
  private final LogFaults faults;
  private final AppendRateLimiter rateLimiter;
  private final HttpServer server;
  private volatile int retentionRecords;

  private PlatformLog(PlatformLogOptions options, InstantSource clock) throws IOException {
    this.faults = new LogFaults(clock);
    this.rateLimiter = new AppendRateLimiter(clock, options.appendsPerSecond());
    this.retentionRecords = options.retentionRecords();
    InetAddress loopback = InetAddress.getLoopbackAddress();
    this.server = HttpServer.create(new InetSocketAddress(loopback, options.port()), 1_024);
    server.setExecutor(workers);
    server.createContext("/streams/", exchange -> handle(exchange, this::handleStream));
    server.createContext("/admin/", exchange -> handle(exchange, this::handleAdmin));
  }

  /**
   * Starts a log on loopback.
   *
   * @param options options of the log
   * @return the running log
   * @throws UncheckedIOException if the port is already in use
   */
  public static PlatformLog start(PlatformLogOptions options) {
    notNull(options, "options");
    try {
      PlatformLog log = new PlatformLog(options, InstantSource.system());
      log.server.start();
      return log;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns the port that the log listens on.
   *
   * @return the port
   */
  public int port() {
    return server.getAddress().getPort();
  }

  /**
   * Starts an outage: every request to a stream, including those of waiting readers, is answered
   * with 503.
   *
   * @param duration time from now to the end of the outage
   */
  public void startOutage(Duration duration) {
    faults.startOutage(duration);
    streams.values().forEach(LogStream::wakeWaiters);
  }

  /**
   * Closes the connection instead of answering the next appends, whose records are appended.
   *
   * @param count number of answers to lose
   */
  public void loseAnswers(int count) {
    faults.setAnswersToLose(count);
  }

  /**
   * Delays every answer.
   *
   * @param delay the delay, zero for none
   */
  public void delayAnswers(Duration delay) {
    faults.setAnswerDelay(delay);
  }

  /**
   * Changes the retention of all streams.
   *
   * @param records number of records that each stream retains
   */
  public void setRetention(int records) {
    retentionRecords = records;
    streams.values().forEach(stream -> stream.setRetention(records));
  }

  /**
   * Returns the usage counters of each stream.
   *
   * @return the counters by stream name
   */
  public Map<String, StreamCounts> counts() {
    Map<String, StreamCounts> counts = new TreeMap<>();
    streams.forEach((name, stream) -> counts.put(name, stream.counts()));
    return counts;
  }

  @Override
  public void close() {
    server.stop(0);
    workers.shutdownNow();
    timers.shutdownNow();
  }

  private void handle(HttpExchange exchange, Handler handler) throws IOException {
    try {
      handler.handle(exchange);
    } catch (IllegalArgumentException e) {
      sendAnswer(exchange, 400, Map.of("error", String.valueOf(e.getMessage())));
    }
  }

  private void handleStream(HttpExchange exchange) throws IOException {
    String[] parts = exchange.getRequestURI().getPath().split("/");
    if (parts.length != 4 || !parts[3].equals("records")) {
      sendAnswer(exchange, 404, Map.of("error", "no such resource"));
      return;
    }
    LogStream stream = streams.computeIfAbsent(parts[2], name -> new LogStream(retentionRecords));
    if (exchange.getRequestMethod().equals("POST")) {
      append(exchange, stream);
    } else {
      read(exchange, stream);
    }
  }

  private void append(HttpExchange exchange, LogStream stream) throws IOException {
    byte[] content = exchange.getRequestBody().readNBytes(MAX_RECORD_BYTES + 1);
    if (content.length > MAX_RECORD_BYTES) {
      sendAnswer(exchange, 413, Map.of("error", "record exceeds the maximum size"));
    } else if (faults.outageActive()) {
      sendAnswer(exchange, 503, Map.of("error", "outage"));
    } else if (!rateLimiter.tryAppend()) {
      sendAnswer(exchange, 429, Map.of("error", "append rate exceeded"));
    } else {
      long offset = stream.append(content);
      if (faults.consumeLostAnswer()) {
        exchange.close();
      } else {
        sendAnswer(exchange, 200, Map.of("offset", offset));
      }
    }
  }

  private void read(HttpExchange exchange, LogStream stream) throws IOException {
    Query query = Query.parse(exchange.getRequestURI().getRawQuery());
    long from = query.number("from", 0);
    int max = (int) Math.min(MAX_RECORDS_PER_READ, query.number("max", 100));
    long waitMillis = Math.min(MAX_WAIT_MILLIS, query.number("waitMillis", 0));
    exchange.getRequestBody().close();
    if (waitMillis <= 0 || faults.outageActive()) {
      answerRead(exchange, stream, from, max);
      return;
    }
    AtomicBoolean answerStarted = new AtomicBoolean();
    Runnable waiter =
        () -> {
          if (answerStarted.compareAndSet(false, true)) {
            workers.execute(() -> answerRead(exchange, stream, from, max));
          }
        };
    if (stream.addWaiter(from, waiter)) {
      timers.schedule(() -> endWait(stream, waiter), waitMillis, TimeUnit.MILLISECONDS);
    } else {
      waiter.run();
    }
  }

  private static void endWait(LogStream stream, Runnable waiter) {
    stream.removeWaiter(waiter);
    waiter.run();
  }

  private void answerRead(HttpExchange exchange, LogStream stream, long from, int max) {
    if (faults.outageActive()) {
      sendAnswer(exchange, 503, Map.of("error", "outage"));
      return;
    }
    LogStream.Page page = stream.read(from, max);
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("firstOffset", page.firstOffset());
    body.put("nextOffset", page.nextOffset());
    if (page.truncated()) {
      sendAnswer(exchange, 410, body);
      return;
    }
    body.put(
        "records",
        IntStream.range(0, page.records().size()).mapToObj(i -> toEntry(page, i)).toList());
    stream.countRead(sendAnswer(exchange, 200, body));
  }

  private static Map<String, Object> toEntry(LogStream.Page page, int index) {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("offset", page.from() + index);
    entry.put("data", Base64.getEncoder().encodeToString(page.records().get(index)));
    return entry;
  }

  private void handleAdmin(HttpExchange exchange) throws IOException {
    Query query = Query.parse(exchange.getRequestURI().getRawQuery());
    exchange.getRequestBody().close();
    String path = exchange.getRequestURI().getPath();
    switch (path.substring("/admin/".length())) {
      case "outage" -> startOutage(Duration.ofMillis(query.number("millis", 0)));
      case "lose-answers" -> loseAnswers((int) query.number("count", 1));
      case "slow" -> delayAnswers(Duration.ofMillis(query.number("millis", 0)));
      case "retention" -> setRetention((int) query.number("records", retentionRecords));
      case "counts" -> {}
      default -> throw new IllegalArgumentException("no such admin request: " + path);
    }
    writeAnswer(exchange, 200, encode(counts()));
  }

  /**
   * Sends an answer, after the injected delay if any, and returns the length of its body in bytes.
   */
  private int sendAnswer(HttpExchange exchange, int status, Map<String, ?> body) {
    byte[] content = encode(body);
    Duration delay = faults.answerDelay();
    if (delay.isZero()) {
      writeAnswer(exchange, status, content);
    } else {
      timers.schedule(
          () -> workers.execute(() -> writeAnswer(exchange, status, content)),
          delay.toMillis(),
          TimeUnit.MILLISECONDS);
    }
    return content.length;
  }

  private static byte[] encode(Map<String, ?> body) {
    try {
      return JSON.writeValueAsBytes(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void writeAnswer(HttpExchange exchange, int status, byte[] content) {
    try (exchange) {
      exchange.getResponseHeaders().set("content-type", "application/json");
      exchange.sendResponseHeaders(status, content.length);
      exchange.getResponseBody().write(content);
    } catch (IOException e) {
      exchange.close();
    }
  }

  @FunctionalInterface
  private interface Handler {
    void handle(HttpExchange exchange) throws IOException;
  }
}
