import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in of an application backend, a process of its own. Arguments: port, id, service, zone,
 * slots, control port, listen backlog. It reports to its node, and prints a line for each request
 * that it runs. On standard input it takes {@code draining}, {@code deregister} and {@code exit}.
 *
 * <p>Paths: {@code .../w/MS/size/BYTES} works MS and answers BYTES; with {@code /pieces/N} the
 * answer is sent in N pieces, 100 ms apart; with {@code /unframed} it has no length and ends with
 * its connection; with {@code /early} it begins before the request's body has been read.
 */
public final class Backend {

  private static String id;
  private static String service;
  private static String zone;
  private static int slots;
  private static int port;
  private static int control;
  private static long born;
  private static final AtomicLong sequence = new AtomicLong();
  private static volatile String state = "ready";
  private static volatile boolean reports = true;

  private Backend() {}

  public static void main(String[] args) throws Exception {
    port = Integer.parseInt(args[0]);
    id = args[1];
    service = args[2];
    zone = args[3];
    slots = Integer.parseInt(args[4]);
    control = Integer.parseInt(args[5]);
    born = System.currentTimeMillis();
    ServerSocket server =
        new ServerSocket(port, Integer.parseInt(args[6]), InetAddress.getByName("127.0.0.1"));
    daemon(() -> accept(server));
    daemon(Backend::beat);
    say("started " + id);
    BufferedReader commands = new BufferedReader(new InputStreamReader(System.in));
    for (String line = commands.readLine(); line != null; line = commands.readLine()) {
      switch (line.trim()) {
        case "draining" -> state = "draining";
        case "deregister" -> deregister();
        case "exit" -> System.exit(0);
        default -> {}
      }
    }
    System.exit(0);
  }

  private static synchronized void say(String text) {
    System.out.println(System.currentTimeMillis() + " " + text);
    System.out.flush();
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static void beat() {
    while (reports) {
      try {
        String text =
            "{\"addr\":\"127.0.0.1:" + port + "\",\"born\":" + born + ",\"info\":{\"service\":\""
                + service + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + slots
                + "},\"status\":{\"state\":\"" + state + "\",\"seq\":"
                + sequence.incrementAndGet() + ",\"cold_left_s\":0}}";
        report("heartbeat", text);
        Thread.sleep(1500);
      } catch (IOException notReached) {
        pause(300);
      } catch (InterruptedException stop) {
        return;
      }
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException stop) {
      Thread.currentThread().interrupt();
    }
  }

  private static int report(String verb, String text) throws IOException {
    Http.Message answer =
        Http.call(
            control,
            "POST",
            "/cuminlatch/instances/" + id + "/" + verb,
            Map.of("Host", "127.0.0.1", "Content-Type", "application/json"),
            text.getBytes(StandardCharsets.UTF_8),
            1000);
    return answer.status();
  }

  /** Leaves without reporting that it drains: says so until it is acknowledged. */
  private static void deregister() {
    reports = false;
    while (true) {
      try {
        int status = report("deregister", "{\"born\":" + born + "}");
        say("deregister " + status);
        if (status / 100 == 2) {
          return;
        }
      } catch (IOException late) {
        say("deregister unanswered");
      }
      pause(300);
    }
  }

  private static void accept(ServerSocket server) {
    while (true) {
      try {
        Socket socket = server.accept();
        daemon(() -> serve(socket));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private static void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Message head = Http.readHead(in);
        if (head.firstLine().contains("/early")) {
          answerEarly(head, in, out);
          return;
        }
        if (!answer(Http.readBody(in, head, false), out)) {
          return;
        }
      }
    } catch (IOException ended) {
      // the caller has closed the connection
    }
  }

  /**
   * Begins an answer without a length before the request's body is in, reads the body later and ends
   * the answer with the connection.
   */
  private static void answerEarly(Http.Message head, InputStream in, OutputStream out)
      throws IOException {
    String requestId = head.header("X-Cuminlatch-Request-Id");
    String path = head.firstLine().split(" ")[1];
    say("run " + requestId + " " + head.firstLine());
    byte[] body = body(requestId, number(path, "size", 200));
    out.write(
        ("HTTP/1.1 200 OK\r\nX-Cuminlatch-Request-Id: " + requestId
                + "\r\nX-Cuminlatch-Server-Stamp: " + id + "." + requestId
                + "\r\nConnection: close\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.write(body, 0, body.length / 2);
    out.flush();
    say("half " + requestId + " bytes=" + body.length / 2);
    pause(500);
    int received = Http.readBody(in, head, false).body().length;
    out.write(body, body.length / 2, body.length - body.length / 2);
    out.flush();
    say("answered " + requestId + " bytes=" + body.length + " body=" + received);
  }

  private static int number(String path, String name, int otherwise) {
    String[] parts = path.split("/");
    for (int i = 0; i + 1 < parts.length; i++) {
      if (parts[i].equals(name)) {
        return Integer.parseInt(parts[i + 1]);
      }
    }
    return otherwise;
  }

  private static boolean answer(Http.Message request, OutputStream out) throws IOException {
    String[] first = request.firstLine().split(" ");
    String path = first[1];
    if (path.equals("/healthz")) {
      out.write(
          ("HTTP/1.1 200 OK\r\nX-Cuminlatch-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      return true;
    }
    String requestId = request.header("X-Cuminlatch-Request-Id");
    String expected = request.header("X-Cuminlatch-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      out.write(
          ("HTTP/1.1 421 Misdirected Request\r\nX-Cuminlatch-Request-Id: " + requestId
                  + "\r\nX-Cuminlatch-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      return true;
    }
    say("run " + requestId + " " + first[0] + " " + path + " body=" + request.body().length);
    pause(number(path, "w", 5));
    byte[] body = body(requestId, number(path, "size", 200));
    boolean unframed = path.contains("/unframed");
    out.write(
        ("HTTP/1.1 200 OK\r\nX-Cuminlatch-Request-Id: " + requestId
                + "\r\nX-Cuminlatch-Server-Stamp: " + id + "." + requestId + "\r\n"
                + (unframed ? "Connection: close\r\n" : "Content-Length: " + body.length + "\r\n")
                + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    int pieces = number(path, "pieces", 1);
    for (int i = 0; i < pieces; i++) {
      int from = (int) ((long) body.length * i / pieces);
      int to = (int) ((long) body.length * (i + 1) / pieces);
      out.write(body, from, to - from);
      out.flush();
      if (i + 1 < pieces) {
        pause(100);
      }
    }
    say("answered " + requestId + " bytes=" + body.length);
    return !unframed;
  }

  /** Returns the body that belongs to a request. */
  static byte[] body(String requestId, int size) {
    byte[] seed = (requestId + ".").getBytes(StandardCharsets.ISO_8859_1);
    byte[] bytes = new byte[size];
    for (int i = 0; i < size; i++) {
      bytes[i] = seed[i % seed.length];
    }
    return bytes;
  }
}
