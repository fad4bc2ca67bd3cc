import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 reader and client on plain sockets. */
final class Http {

  /** A message: its first line, its headers with lower-case names and its whole body. */
  record Message(String firstLine, Map<String, String> headers, byte[] body) {
    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  private Http() {}

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("connection closed");
      }
      if (c != '\r') {
        out.write(c);
      }
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads one message; a response without a length ends with its connection. */
  static Message read(InputStream in, boolean response) throws IOException {
    return readBody(in, readHead(in), response);
  }

  /** Reads the first line and the headers of a message. */
  static Message readHead(InputStream in) throws IOException {
    String first = line(in);
    while (first.isEmpty()) {
      first = line(in);
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String text = line(in); !text.isEmpty(); text = line(in)) {
      int colon = text.indexOf(':');
      headers.put(
          text.substring(0, colon).trim().toLowerCase(Locale.ROOT), text.substring(colon + 1).trim());
    }
    return new Message(first, headers, new byte[0]);
  }

  /** Reads the body that follows a head. */
  static Message readBody(InputStream in, Message head, boolean response) throws IOException {
    Map<String, String> headers = head.headers();
    byte[] body = new byte[0];
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      for (int size = chunk(in); size > 0; size = chunk(in)) {
        out.write(exactly(in, size));
        line(in);
      }
      line(in);
      body = out.toByteArray();
    } else if (headers.containsKey("content-length")) {
      body = exactly(in, Integer.parseInt(headers.get("content-length")));
    } else if (response) {
      body = in.readAllBytes();
    }
    return new Message(head.firstLine(), headers, body);
  }

  private static int chunk(InputStream in) throws IOException {
    return Integer.parseInt(line(in).split(";")[0].trim(), 16);
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("connection closed within a body");
    }
    return bytes;
  }

  /** Sends one request on a new connection and reads its answer. */
  static Message call(
      int port, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
      socket.setSoTimeout(timeoutMs);
      socket.setTcpNoDelay(true);
      OutputStream out = socket.getOutputStream();
      out.write(head(method, path, headers, body.length));
      out.write(body);
      out.flush();
      return read(new java.io.BufferedInputStream(socket.getInputStream()), true);
    }
  }

  static byte[] head(String method, String path, Map<String, String> headers, int length) {
    StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
    if (length > 0 || method.equals("POST")) {
      text.append("Content-Length: " + length + "\r\n");
    }
    return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
