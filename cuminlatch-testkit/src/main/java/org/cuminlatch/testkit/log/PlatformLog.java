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
 * The platform's log over HTTP, held in memory.
 *
 * <p>Streams come into being with their first use. Readers that wait hold no thread. Faults are
 * brought about by requests to {@code /admin} or by the methods of this class.
 */
public final class PlatformLog implements AutoCloseable {

  private static final int THREADS = 8;
  private static final int MAX_RECORD_BYTES = 16 * 1024 * 1024;
  private static final int MAX_RECORDS_PER_READ = 1_000;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
  }

  private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
  private final ExecutorService workers = Executors.newFixedThreadPool(THREADS);
  private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
  private final LogFaults faults;
  private final AppendRate rate;
  private final HttpServer server;
  private volatile int retention;

  private PlatformLog(PlatformLogOptions options, InstantSource clock) throws IOException {
    this.faults = new LogFaults(clock);
    this.rate = new AppendRate(clock, options.appendsPerSecond());
    this.retention = options.retentionRecords();
    InetAddress loopback = InetAddress.getLoopbackAddress();
    this.server = HttpServer.create(new InetSocketAddress(loopback, options.port()), 1_024);
    server.setExecutor(workers);
    server.createContext("/streams/", exchange -> guarded(exchange, this::stream));
    server.createContext("/admin/", exchange -> guarded(exchange, this::admin));
  }

  /**
   * Starts a log.
   *
   * @param options its options
   * @return the running log
   * @throws UncheckedIOException if the port is taken
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
   * Answers every request to the streams with 503 for a while, waiting readers included.
   *
   * @param length how long from now on
   */
  public void outage(Duration length) {
    faults.outage(length);
    streams.values().forEach(LogStream::wakeWaiters);
  }

  /**
   * Closes the connection in place of the answer to the next appends, which take effect.
   *
   * @param count how many answers to lose
   */
  public void loseAnswers(int count) {
    faults.loseAnswers(count);
  }

  /**
   * Delays every answer.
   *
   * @param delay the delay, zero to end it
   */
  public void slow(Duration delay) {
    faults.delay(delay);
  }

  /**
   * Changes how many records each stream keeps.
   *
   * @param records the number of records
   */
  public void retain(int records) {
    retention = records;
    streams.values().forEach(stream -> stream.retain(records));
  }

  /**
   * Returns what each stream has been used for.
   *
   * @return the counts by stream
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

  private void guarded(HttpExchange exchange, Handler handler) throws IOException {
    try {
      handler.handle(exchange);
    } catch (IllegalArgumentException e) {
      answer(exchange, 400, Map.of("error", String.valueOf(e.getMessage())));
    }
  }

  private void stream(HttpExchange exchange) throws IOException {
    String[] parts = exchange.getRequestURI().getPath().split("/");
    if (parts.length != 4 || !parts[3].equals("records")) {
      answer(exchange, 404, Map.of("error", "no such resource"));
      return;
    }
    LogStream stream = streams.computeIfAbsent(parts[2], name -> new LogStream(retention));
    if (exchange.getRequestMethod().equals("POST")) {
      append(exchange, stream);
    } else {
      read(exchange, stream);
    }
  }

  private void append(HttpExchange exchange, LogStream stream) throws IOException {
    byte[] content = exchange.getRequestBody().readNBytes(MAX_RECORD_BYTES + 1);
    if (content.length > MAX_RECORD_BYTES) {
      answer(exchange, 413, Map.of("error", "record too large"));
    } else if (faults.outage()) {
      answer(exchange, 503, Map.of("error", "outage"));
    } else if (!rate.tryAppend()) {
      answer(exchange, 429, Map.of("error", "rate exceeded"));
    } else {
      long offset = stream.append(content);
      if (faults.losesAnswer()) {
        exchange.close();
      } else {
        answer(exchange, 200, Map.of("offset", offset));
      }
    }
  }

  private void read(HttpExchange exchange, LogStream stream) throws IOException {
    Query query = Query.parse(exchange.getRequestURI().getRawQuery());
    long from = query.number("from", 0);
    int max = (int) Math.min(MAX_RECORDS_PER_READ, query.number("max", 100));
    long waitMillis = Math.min(MAX_WAIT_MILLIS, query.number("waitMillis", 0));
    exchange.getRequestBody().close();
    if (waitMillis <= 0 || faults.outage()) {
      answerRead(exchange, stream, from, max);
      return;
    }
    AtomicBoolean answered = new AtomicBoolean();
    Runnable waiter =
        () -> {
          if (answered.compareAndSet(false, true)) {
            workers.execute(() -> answerRead(exchange, stream, from, max));
          }
        };
    if (stream.awaitAppend(from, waiter)) {
      timers.schedule(() -> expire(stream, waiter), waitMillis, TimeUnit.MILLISECONDS);
    } else {
      waiter.run();
    }
  }

  private static void expire(LogStream stream, Runnable waiter) {
    stream.forget(waiter);
    waiter.run();
  }

  private void answerRead(HttpExchange exchange, LogStream stream, long from, int max) {
    if (faults.outage()) {
      answer(exchange, 503, Map.of("error", "outage"));
      return;
    }
    LogStream.Page page = stream.read(from, max);
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("firstOffset", page.firstOffset());
    body.put("nextOffset", page.nextOffset());
    if (page.truncated()) {
      answer(exchange, 410, body);
      return;
    }
    body.put(
        "records",
        IntStream.range(0, page.records().size()).mapToObj(i -> recordAt(page, i)).toList());
    stream.countRead(answer(exchange, 200, body));
  }

  private static Map<String, Object> recordAt(LogStream.Page page, int index) {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("offset", page.from() + index);
    entry.put("data", Base64.getEncoder().encodeToString(page.records().get(index)));
    return entry;
  }

  private void admin(HttpExchange exchange) throws IOException {
    Query query = Query.parse(exchange.getRequestURI().getRawQuery());
    exchange.getRequestBody().close();
    String path = exchange.getRequestURI().getPath();
    switch (path.substring("/admin/".length())) {
      case "outage" -> outage(Duration.ofMillis(query.number("millis", 0)));
      case "lose-answers" -> loseAnswers((int) query.number("count", 1));
      case "slow" -> slow(Duration.ofMillis(query.number("millis", 0)));
      case "retention" -> retain((int) query.number("records", retention));
      case "counts" -> {}
      default -> throw new IllegalArgumentException("no such request: " + path);
    }
    respond(exchange, 200, encode(counts()));
  }

  /** Answers after the delay in force and returns the bytes of the body. */
  private int answer(HttpExchange exchange, int status, Map<String, ?> body) {
    byte[] content = encode(body);
    Duration delay = faults.delay();
    if (delay.isZero()) {
      respond(exchange, status, content);
    } else {
      timers.schedule(
          () -> workers.execute(() -> respond(exchange, status, content)),
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

  private static void respond(HttpExchange exchange, int status, byte[] content) {
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
