import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in for the platform's store: the calls of the log that the nodes make. */
final class Store implements AutoCloseable {

  private final Map<String, List<byte[]>> topics = new HashMap<>();
  private final ExecutorService threads = Executors.newCachedThreadPool(Store::daemon);
  private final HttpServer server;

  /** Whether all calls are answered with 503 and nothing is done. */
  volatile boolean down;

  Store(String ip) throws IOException {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    server = HttpServer.create(new InetSocketAddress(ip, Machine.STORE_PORT), 200);
    server.setExecutor(threads);
    server.createContext("/cuminlatch/", this::handle);
    server.start();
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  /** Appends a record as the operator does. */
  synchronized void put(String topic, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
    records(topic)
        .add(
            ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
                .put((byte) keyBytes.length)
                .put(keyBytes)
                .put(valueBytes)
                .array());
    notifyAll();
  }

  private List<byte[]> records(String topic) {
    return topics.computeIfAbsent(topic, unused -> new ArrayList<>());
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      String path = exchange.getRequestURI().getPath();
      if (down) {
        answer(exchange, 503, new byte[0]);
      } else if (path.endsWith("/log-append")) {
        append(exchange, query, body);
      } else if (path.endsWith("/log-newest")) {
        answer(exchange, 200, newest(query.get("topic")).getBytes(StandardCharsets.UTF_8));
      } else if (path.endsWith("/log-read")) {
        read(exchange, query);
      } else {
        answer(exchange, 404, new byte[0]);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> values = new HashMap<>();
    for (String part : raw.split("&")) {
      int equals = part.indexOf('=');
      values.put(
          part.substring(0, equals),
          URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return values;
  }

  private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
  }

  private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException {
    String answer;
    int status = 200;
    synchronized (this) {
      List<byte[]> records = records(query.get("topic"));
      int offset = records.size();
      if (query.containsKey("at") && Long.parseLong(query.get("at")) != offset) {
        status = 412;
      } else {
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.hasRemaining()) {
          byte[] record = new byte[bytes.getInt()];
          bytes.get(record);
          records.add(record);
        }
        notifyAll();
      }
      answer = "{\"offset\":" + offset + ",\"end\":" + records.size() + "}";
    }
    answer(exchange, status, answer.getBytes(StandardCharsets.UTF_8));
  }

  private synchronized String newest(String topic) {
    List<byte[]> records = records(topic);
    Map<String, Integer> offsets = new LinkedHashMap<>();
    for (int i = 0; i < records.size(); i++) {
      byte[] record = records.get(i);
      String key = new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
      offsets.remove(key);
      if (record.length > 1 + (record[0] & 0xff)) {
        offsets.put(key, i);
      }
    }
    List<String> items = new ArrayList<>();
    offsets.forEach(
        (key, offset) -> {
          byte[] record = records.get(offset);
          byte[] value = Arrays.copyOfRange(record, 1 + (record[0] & 0xff), record.length);
          items.add(
              "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                  + "\",\"offset\":" + offset + "}");
        });
    return "{\"items\":[" + String.join(",", items) + "],\"has_more\":false,\"end\":"
        + records.size() + "}";
  }

  private void read(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    int from = Integer.parseInt(query.get("from"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    byte[] body = null;
    synchronized (this) {
      List<byte[]> records = records(query.get("topic"));
      while (records.size() <= from && System.nanoTime() < end && !down) {
        wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
      }
      if (from <= records.size()) {
        List<byte[]> wanted = records.subList(from, records.size());
        int length = 16 + wanted.stream().mapToInt(record -> record.length + 4).sum();
        ByteBuffer bytes = ByteBuffer.allocate(length).putLong(records.size()).putLong(0);
        wanted.forEach(record -> bytes.putInt(record.length).put(record));
        body = bytes.array();
      }
    }
    if (down) {
      answer(exchange, 503, new byte[0]);
    } else if (body == null) {
      answer(exchange, 410, "{\"first\":0}".getBytes(StandardCharsets.UTF_8));
    } else {
      answer(exchange, 200, body);
    }
  }

  /** Returns a configuration of routes and services. */
  static String configuration(int version, String routes, String... services) {
    StringBuilder text = new StringBuilder("{\"version\":\"r" + version + "\",\"resources\":[" + routes);
    for (String service : services) {
      text.append(",{\"type\":\"services\",\"metadata\":{\"name\":\"").append(service)
          .append("\"},\"spec\":{\"health_path\":\"/healthz\",\"max_conns\":130,")
          .append("\"protocol\":\"h1\",\"tls\":false}}");
    }
    return text
        + ",{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}]}";
  }

  static String route(
      String name, String kind, String service, double timeout, double goal, int attempts) {
    return "{\"type\":\"routes\",\"metadata\":{\"name\":\"r-" + name
        + "\"},\"spec\":{\"host\":\"" + Caller.HOST + "\",\"path_prefix\":\"/" + name
        + "/\",\"kind\":\"" + kind + "\",\"timeout_s\":" + timeout + ",\"goal_s\":" + goal
        + ",\"priority\":1,\"service\":\"" + service + "\",\"attempts\":" + attempts + "}}";
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
