import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;

/**
 * A backend in a process of its own. It answers a large request before it has read its body, without
 * a length: it sends the first half of the answer, reads on after a pause, sends the rest and closes
 * the connection. Small requests are answered with a length.
 */
final class BackendProcess {

  static final int ANSWER_BYTES = 300_000;
  private static final int LARGE_BODY_BYTES = 1 << 20;
  private static final int PAUSE_MILLIS = 400;

  private BackendProcess() {}

  /** Returns the body of the answer to a request: its id over and over. */
  static byte[] answer(String id) {
    byte[] body = new byte[ANSWER_BYTES];
    byte[] text = Backend.ascii(id + " ");
    for (int i = 0; i < body.length; i++) {
      body[i] = text[i % text.length];
    }
    return body;
  }

  /** Starts a backend; the arguments are its address, service, id and start time. */
  public static void main(String[] args) throws Exception {
    String ip = args[0];
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(ip, Machine.APP_PORT), 100);
    Store.daemon(() -> beat(ip, args[1], args[2], args[3])).start();
    while (true) {
      Socket socket = listener.accept();
      Store.daemon(() -> serve(socket)).start();
    }
  }

  private static void beat(String ip, String service, String id, String born) {
    for (int sequence = 1; true; sequence++) {
      Caller.post(ip, Machine.CONTROL_PORT, "/cuminlatch/instances/" + id + "/heartbeat",
          "{\"addr\":\"" + ip + ":" + Machine.APP_PORT + "\",\"born\":" + born
              + ",\"info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\"z\","
              + "\"slots\":13},\"status\":{\"state\":\"ready\",\"seq\":" + sequence
              + ",\"cold_left_s\":0}}");
      try {
        Thread.sleep(1500);
      } catch (InterruptedException ended) {
        return;
      }
    }
  }

  private static void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (String line = Caller.line(in); line != null; line = Caller.line(in)) {
        Map<String, String> headers = Caller.headers(in);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String id = headers.getOrDefault("x-cuminlatch-request-id", "");
        String head = "HTTP/1.1 200 OK\r\nX-Cuminlatch-Request-Id: " + id
            + "\r\nX-Cuminlatch-Server-Stamp: st-" + id + "\r\n";
        if (length < LARGE_BODY_BYTES) {
          in.readNBytes(length);
          out.write(Backend.ascii(head + "Content-Length: 4\r\n\r\ndone"));
          continue;
        }
        byte[] body = answer(id);
        out.write(Backend.ascii(head + "Connection: close\r\n\r\n"));
        out.write(body, 0, ANSWER_BYTES / 2);
        System.out.println("half " + id);
        Thread.sleep(PAUSE_MILLIS);
        in.readNBytes(length);
        out.write(body, ANSWER_BYTES / 2, ANSWER_BYTES / 2);
        System.out.println("whole " + id);
        return;
      }
    } catch (IOException | InterruptedException broken) {
      // the node has closed the connection
    }
  }
}
