package org.cuminlatch.node.call;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** TCP relay whose open connections can be made to drop all data or be closed. */
final class TcpRelay implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;

  private final ServerSocket listener;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<RelayedConnection> relayedConnections = new CopyOnWriteArrayList<>();
  private volatile InetSocketAddress destination;
  private volatile boolean silenceNewConnections;

  TcpRelay() {
    try {
      listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
    threads.execute(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void forwardTo(InetSocketAddress address) {
    destination = address;
  }

  /** Drops all further data of the open connections, without closing them. */
  void silenceOpenConnections() {
    relayedConnections.forEach(RelayedConnection::silence);
  }

  /** Drops all further data from the destination on the open connections. */
  void silenceAnswers() {
    relayedConnections.forEach(RelayedConnection::silenceAnswers);
  }

  /** Drops all further data, on open and on new connections, without closing them. */
  void silenceAllConnections() {
    silenceNewConnections = true;
    silenceOpenConnections();
  }

  void closeOpenConnections() {
    relayedConnections.forEach(RelayedConnection::close);
  }

  int connections() {
    return relayedConnections.size();
  }

  private void accept() {
    try {
      while (true) {
        Socket clientSocket = listener.accept();
        Socket destinationSocket = new Socket(destination.getAddress(), destination.getPort());
        RelayedConnection connection = new RelayedConnection(clientSocket, destinationSocket);
        relayedConnections.add(connection);
        if (silenceNewConnections) {
          connection.silence();
        }
      }
    } catch (IOException closed) {
      threads.shutdownNow();
    }
  }

  @Override
  public void close() {
    closeOpenConnections();
    try {
      listener.close();
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
  }

  /** One relayed connection with its two directions. */
  private final class RelayedConnection {

    private final Socket clientSocket;
    private final Socket destinationSocket;
    private volatile boolean forwardSilent;
    private volatile boolean backwardSilent;

    RelayedConnection(Socket clientSocket, Socket destinationSocket) throws IOException {
      this.clientSocket = clientSocket;
      this.destinationSocket = destinationSocket;
      clientSocket.setTcpNoDelay(true);
      destinationSocket.setTcpNoDelay(true);
      threads.execute(() -> copy(clientSocket, destinationSocket, true));
      threads.execute(() -> copy(destinationSocket, clientSocket, false));
    }

    void silence() {
      forwardSilent = true;
      backwardSilent = true;
    }

    void silenceAnswers() {
      backwardSilent = true;
    }

    void close() {
      closeQuietly(clientSocket);
      closeQuietly(destinationSocket);
    }

    private void copy(Socket from, Socket to, boolean forward) {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          if (!(forward ? forwardSilent : backwardSilent)) {
            out.write(buffer, 0, count);
          }
        }
      } catch (IOException closed) {
        close();
        return;
      }
      if (!forwardSilent && !backwardSilent) {
        close();
      }
    }

    private static void closeQuietly(Socket socket) {
      try {
        socket.close();
      } catch (IOException ignored) {
        // the other end has already closed it
      }
    }
  }
}
