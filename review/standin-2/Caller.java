import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A client's connection, and helpers to read HTTP. */
final class Caller implements AutoCloseable {

  static final String HOST = "hire.example";

  /** An answer as it arrived; the status is 0 if the connection ended before the end of a head. */
  record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {}

  final Socket socket = new Socket();
  final InputStream in;

  Caller(String ip, int port, int timeoutMillis) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(ip, port), 1000);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
  }

  static String head(String method, String target, String id, int deadlineMillis, String more) {
    return method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Cuminlatch-Request-Id: "
        + id + "\r\nX-Cuminlatch-Deadline-Ms: " + deadlineMillis + "\r\n" + more + "\r\n";
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  Answer read() throws IOException {
    return read(in);
  }

  static Answer read(InputStream in) throws IOException {
    String line = line(in);
    if (line == null) {
      return new Answer(0, Map.of(), new byte[0], false);
    }
    int status = Integer.parseInt(line.substring(9, 12));
    Map<String, String> headers = headers(in);
    if (headers.containsKey("transfer-encoding")) {
      return new Answer(status, headers, chunks(in), true);
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    return new Answer(status, headers, body, body.length == length);
  }

  /** Sends a request on a connection of its own and reads its answer. */
  static Answer call(String ip, String request, int timeoutMillis) throws IOException {
    try (Caller caller = new Caller(ip, Machine.OUTBOUND_PORT, timeoutMillis)) {
      caller.send(request);
      return caller.read();
    }
  }

  static int status(String ip, int port, String path) {
    try (Caller caller = new Caller(ip, port, 2000)) {
      caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      return caller.read().status();
    } catch (IOException notAnswered) {
      return 0;
    }
  }

  static int post(String ip, int port, String path, String body) {
    try (Caller caller = new Caller(ip, port, 1000)) {
      caller.send("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
          + "Content-Length: " + body.length() + "\r\nConnection: close\r\n\r\n" + body);
      return caller.read().status();
    } catch (IOException notAnswered) {
      return 0;
    }
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        text.write(next);
      }
    }
    return text.toString(StandardCharsets.ISO_8859_1);
  }

  static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return headers;
  }

  static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new IOException("connection ended within a chunked body");
      }
      int length = Integer.parseInt(size.trim(), 16);
      body.write(in.readNBytes(length));
      line(in);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
