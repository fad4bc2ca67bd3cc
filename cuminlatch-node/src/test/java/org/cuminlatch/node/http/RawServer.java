package org.cuminlatch.node.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminlatch.core.membership.Address;

/** Server that writes whatever bytes a test wants; its requests have no body and an Id header. */
final class RawServer implements AutoCloseable {

  private final ServerSocket listener;
  private final Responder responder;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();

  RawServer(Responder responder) throws IOException {
    this.responder = responder;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  /** Answers the requests of a connection. */
  @FunctionalInterface
  interface Responder {
    void respond(String requestId, Connection connection) throws Exception;
  }

  /** A connection of the server. */
  record Connection(Socket socket) {

    Connection write(String bytes) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      return this;
    }

    void close() throws IOException {
      socket.close();
    }
  }

  Address address() {
    return new Address("127.0.0.1", listener.getLocalPort());
  }

  int connections() {
    return connections.get();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        connections.incrementAndGet();
        start(() -> serve(socket));
      }
    } catch (IOException closed) {
      // the test has ended
    }
  }

  private void serve(Socket socket) {
    try {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String id = "";
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith("Id: ")) {
          id = line.substring(4);
        } else if (line.isEmpty()) {
          responder.respond(id, new Connection(socket));
        }
      }
    } catch (Exception ended) {
      // the client has closed the connection
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
