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

/** TCP relay between two ends whose open connections can be made silent or be cut. */
final class Relay implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;

  private final ServerSocket listener;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Link> links = new CopyOnWriteArrayList<>();
  private volatile InetSocketAddress destination;
  private volatile boolean frozen;

  Relay() {
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

  /** Drops all that the open connections carry from now on, without closing them. */
  void silenceOpenConnections() {
    links.forEach(Link::silence);
  }

  /** Drops only what comes back from the destination on the open connections. */
  void silenceAnswers() {
    links.forEach(Link::silenceAnswers);
  }

  /** Drops all that any connection carries, open ones and later ones. */
  void freeze() {
    frozen = true;
    silenceOpenConnections();
  }

  void cutOpenConnections() {
    links.forEach(Link::close);
  }

  int connections() {
    return links.size();
  }

  private void accept() {
    try {
      while (true) {
        Socket near = listener.accept();
        Socket far = new Socket(destination.getAddress(), destination.getPort());
        Link link = new Link(near, far);
        links.add(link);
        if (frozen) {
          link.silence();
        }
      }
    } catch (IOException closed) {
      threads.shutdownNow();
    }
  }

  @Override
  public void close() {
    cutOpenConnections();
    try {
      listener.close();
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
  }

  /** One connection with its two directions. */
  private final class Link {

    private final Socket near;
    private final Socket far;
    private volatile boolean forwardSilent;
    private volatile boolean backSilent;

    Link(Socket near, Socket far) throws IOException {
      this.near = near;
      this.far = far;
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      threads.execute(() -> copy(near, far, true));
      threads.execute(() -> copy(far, near, false));
    }

    void silence() {
      forwardSilent = true;
      backSilent = true;
    }

    void silenceAnswers() {
      backSilent = true;
    }

    void close() {
      closeQuietly(near);
      closeQuietly(far);
    }

    private void copy(Socket from, Socket to, boolean forward) {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          if (!(forward ? forwardSilent : backSilent)) {
            out.write(buffer, 0, count);
          }
        }
      } catch (IOException closed) {
        close();
        return;
      }
      if (!forwardSilent && !backSilent) {
        close();
      }
    }

    private static void closeQuietly(Socket socket) {
      try {
        socket.close();
      } catch (IOException ignored) {
        // The other side has closed it already.
      }
    }
  }
}
