import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a backend as PROTOCOL.md describes it: heartbeats, health checks, one request at a
 * time on a connection, the request's id and a stamp in each answer.
 */
final class Backend implements AutoCloseable {

  /** How a backend answers; returns whether the connection is kept. */
  interface Behaviour {
    boolean answer(Request request, OutputStream out) throws IOException, InterruptedException;
  }

  /** A request as it arrived. */
  record Request(
      long atMillis, String method, String target, Map<String, String> headers, byte[] body) {
    String id() {
      return headers.getOrDefault("x-cuminlatch-request-id", "");
    }
  }

  final Machine machine;
  final String id;
  final long born;
  final List<Request> ran = new CopyOnWriteArrayList<>();
  private final Lab lab;
  private final int slots;
  private final ServerSocket listener = new ServerSocket();
  private final ExecutorService threads = Executors.newCachedThreadPool(Store::daemon);
  private final AtomicInteger sequence = new AtomicInteger();
  volatile Behaviour behaviour;
  volatile String state = "ready";
  volatile boolean beats = true;

  Backend(Lab lab, Machine machine, String id, long born, int slots, Behaviour behaviour)
      throws IOException {
    this.lab = lab;
    this.machine = machine;
    this.id = id;
    this.born = born;
    this.slots = slots;
    this.behaviour = behaviour;
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(machine.ip, Machine.APP_PORT), 200);
    threads.execute(this::accept);
    threads.execute(this::beat);
  }

  private void beat() {
    try {
      while (!listener.isClosed()) {
        if (beats) {
          report();
        }
        Thread.sleep(1500);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a heartbeat and returns the status of its answer, 0 if there is none. */
  int report() {
    String body =
        "{\"addr\":\"" + machine.ip + ":" + Machine.APP_PORT + "\",\"born\":" + born
            + ",\"info\":{\"service\":\"" + machine.service + "\",\"version\":\"v1\",\"zone\":\"z\","
            + "\"slots\":" + slots + "},\"status\":{\"state\":\"" + state + "\",\"seq\":"
            + sequence.incrementAndGet() + ",\"cold_left_s\":0}}";
    return Caller.post(machine.ip, Machine.CONTROL_PORT,
        "/cuminlatch/instances/" + id + "/heartbeat", body);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        threads.execute(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Request request = read(in); request != null; request = read(in)) {
        boolean kept;
        if (request.target().equals("/healthz")) {
          out.write(ascii("HTTP/1.1 200 OK\r\nX-Cuminlatch-Instance-Id: " + id
              + "\r\nContent-Length: 0\r\n\r\n"));
          kept = true;
        } else if (!request.headers().getOrDefault("x-cuminlatch-expect-instance", id).equals(id)) {
          out.write(ascii("HTTP/1.1 421 Misdirected Request\r\nX-Cuminlatch-Instance-Id: " + id
              + "\r\nX-Cuminlatch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
          kept = true;
        } else {
          ran.add(request);
          kept = behaviour.answer(request, out);
        }
        out.flush();
        if (!kept) {
          return;
        }
      }
    } catch (IOException | InterruptedException broken) {
      // the caller has closed the connection, or the case has ended
    }
  }

  private Request read(InputStream in) throws IOException {
    String line = Caller.line(in);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = Caller.headers(in);
    byte[] body;
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      body = Caller.chunks(in);
    } else {
      body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }
    String[] parts = line.split(" ");
    return new Request(lab.millis(), parts[0], parts[1], headers, body);
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Writes a complete answer with a length; the connection is kept. */
  static boolean ok(Request request, OutputStream out, byte[] body) throws IOException {
    out.write(ascii("HTTP/1.1 200 OK\r\nX-Cuminlatch-Request-Id: " + request.id()
        + "\r\nX-Cuminlatch-Server-Stamp: st-" + request.id()
        + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + body.length + "\r\n\r\n"));
    out.write(body);
    return true;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    threads.shutdownNow();
  }
}
