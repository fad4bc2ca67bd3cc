import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: keyed topics with partition 0, as PROTOCOL.md tells. */
final class Store {

  private static final class Topic {
    final List<byte[]> records = new ArrayList<>();
  }

  /** One address of the store; it may turn its callers away. */
  static final class Door {
    final HttpServer server;

    /** While set, every call gets 503 and nothing is done. */
    volatile boolean busy;

    Door(HttpServer server) {
      this.server = server;
    }

    int port() {
      return server.getAddress().getPort();
    }
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private final List<HttpServer> servers = new ArrayList<>();

  Door open() throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
    Door door = new Door(server);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/cuminlatch/", exchange -> handle(door, exchange));
    server.start();
    servers.add(server);
    return door;
  }

  void close() {
    servers.forEach(server -> server.stop(0));
  }

  /** Writes a record as the operator; returns when it is acknowledged. */
  synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] content = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + content.length);
    record.put((byte) name.length).put(name).put(content);
    topic(topic).records.add(record.array());
    notifyAll();
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, unused -> new Topic());
  }

  private void handle(Door door, HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      if (door.busy) {
        answer(exchange, 503, new byte[0]);
        return;
      }
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/cuminlatch/log-append" -> append(exchange, query, body);
        case "/cuminlatch/log-read" -> read(exchange, query);
        case "/cuminlatch/log-newest" -> newest(exchange, query);
        default -> answer(exchange, 404, new byte[0]);
      }
    } catch (InterruptedException stop) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> fields = new HashMap<>();
    for (String pair : (text == null ? "" : text).split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        fields.put(
            pair.substring(0, equals),
            java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return fields;
  }

  private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException {
    String reply;
    int status = 200;
    synchronized (this) {
      String name = query.get("topic");
      Topic topic = topic(name);
      long end = topic.records.size();
      if (name.equals("keyed.op") || name.equals("keyed.servers")) {
        status = 403;
        reply = "{}";
      } else if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
        status = 412;
        reply = "{\"end\":" + end + "}";
      } else {
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.remaining() >= 4) {
          byte[] record = new byte[bytes.getInt()];
          bytes.get(record);
          topic.records.add(record);
        }
        notifyAll();
        reply = "{\"offset\":" + end + ",\"end\":" + topic.records.size() + "}";
      }
    }
    answer(exchange, status, reply.getBytes(StandardCharsets.UTF_8));
  }

  private void read(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    int from = Integer.parseInt(query.get("from"));
    long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      while (topic.records.size() <= from && System.nanoTime() < until) {
        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
      }
      out.write(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
      for (int i = from; i < topic.records.size(); i++) {
        byte[] record = topic.records.get(i);
        out.write(ByteBuffer.allocate(4).putInt(record.length).array());
        out.write(record);
      }
    }
    answer(exchange, 200, out.toByteArray());
  }

  private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
    StringBuilder json = new StringBuilder("{\"items\":[");
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      Map<String, Integer> latest = new LinkedHashMap<>();
      for (int i = 0; i < topic.records.size(); i++) {
        byte[] record = topic.records.get(i);
        String key = new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
        latest.remove(key);
        latest.put(key, i);
      }
      boolean first = true;
      for (Map.Entry<String, Integer> entry : latest.entrySet()) {
        byte[] record = topic.records.get(entry.getValue());
        int start = 1 + (record[0] & 0xff);
        byte[] value = java.util.Arrays.copyOfRange(record, start, record.length);
        if (value.length == 0) {
          continue;
        }
        json.append(first ? "" : ",")
            .append("{\"key\":\"")
            .append(entry.getKey())
            .append("\",\"value\":\"")
            .append(Base64.getEncoder().encodeToString(value))
            .append("\",\"offset\":")
            .append(entry.getValue())
            .append('}');
        first = false;
      }
      json.append("],\"has_more\":false,\"end\":").append(topic.records.size()).append('}');
    }
    answer(exchange, 200, json.toString().getBytes(StandardCharsets.UTF_8));
  }

  private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
  }
}
