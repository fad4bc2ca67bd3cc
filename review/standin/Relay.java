import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Relays connections to a port; on request, the open ones go silent for good, without a reset. */
final class Relay {

  private final ServerSocket server;
  private final int target;
  private final List<Link> links = new ArrayList<>();

  private static final class Link {
    volatile boolean silent;
  }

  Relay(int target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    daemon(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Silences all connections that are open now; returns their number. */
  synchronized int silence() {
    links.forEach(link -> link.silent = true);
    int count = links.size();
    links.clear();
    return count;
  }

  private void accept() {
    while (true) {
      try {
        Socket near = server.accept();
        Socket far = new Socket();
        far.connect(new InetSocketAddress("127.0.0.1", target), 1000);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Link link = new Link();
        synchronized (this) {
          links.add(link);
        }
        daemon(() -> copy(link, near, far));
        daemon(() -> copy(link, far, near));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void copy(Link link, Socket from, Socket to) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[65536];
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        if (!link.silent) {
          out.write(buffer, 0, read);
        }
      }
    } catch (IOException ended) {
      // the other side is closed below
    }
    synchronized (this) {
      links.remove(link);
    }
    if (!link.silent) {
      close(from);
      close(to);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException ignored) {
      // it is closed
    }
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }
}
