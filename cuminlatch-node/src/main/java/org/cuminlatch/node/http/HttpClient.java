package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.notNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminlatch.core.membership.Address;

/**
 * Connections to one server, each with one request at a time.
 *
 * <p>A connection is used again only after a whole answer to a request that was written to its end,
 * and never once a byte has come that belongs to no request. Used on one event loop.
 */
public final class HttpClient {

  private final EventLoopGroup group;
  private final Address server;
  private final Duration connectTimeout;
  private final int maxBodyBytes;
  private final Deque<ClientConnection> idle = new ArrayDeque<>();
  private final Set<ClientConnection> all = new HashSet<>();

  /**
   * Creates a client without connections.
   *
   * @param group event loop group of one thread
   * @param server address of the server
   * @param connectTimeout longest time to open a connection
   * @param maxBodyBytes largest body of an answer
   */
  public HttpClient(
      EventLoopGroup group, Address server, Duration connectTimeout, int maxBodyBytes) {
    this.group = notNull(group, "group");
    this.server = notNull(server, "server");
    this.connectTimeout = notNull(connectTimeout, "connectTimeout");
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Sends a request.
   *
   * @param request the request
   * @param listener takes its end
   * @return the request on its way
   */
  public ClientCall send(ClientRequest request, ClientListener listener) {
    ClientConnection kept = takeIdle(request.maxIdle());
    if (kept != null) {
      return kept.send(request, listener);
    }
    PendingCall pending = new PendingCall(request, listener);
    bootstrap()
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                ClientConnection connection =
                    new ClientConnection(HttpClient.this, channel, maxBodyBytes);
                connection.addTo(channel.pipeline());
              }
            })
        .connect(server.host(), server.port())
        .addListener((ChannelFuture done) -> pending.connected(done));
    return pending;
  }

  /**
   * Opens a connection and closes it again.
   *
   * @param result takes whether it could be opened
   */
  public void probe(Consumer<Boolean> result) {
    bootstrap()
        .handler(new ChannelInboundHandlerAdapter())
        .connect(server.host(), server.port())
        .addListener(
            (ChannelFuture done) -> {
              done.channel().close();
              result.accept(done.isSuccess());
            });
  }

  private Bootstrap bootstrap() {
    return new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis());
  }

  private ClientConnection takeIdle(Duration maxIdle) {
    for (; ; ) {
      ClientConnection newest = idle.pollFirst();
      if (newest == null) {
        return null;
      }
      if (!newest.isUsable()) {
        newest.close();
      } else if (newest.idleTime().compareTo(maxIdle) > 0) {
        idle.addFirst(newest);
        return null;
      } else {
        return newest;
      }
    }
  }

  void released(ClientConnection connection) {
    idle.addFirst(connection);
    ClientConnection oldest = idle.peekLast();
    while (oldest != null && !oldest.isUsable()) {
      oldest.close();
      idle.remove(oldest);
      oldest = idle.peekLast();
    }
  }

  void opened(ClientConnection connection) {
    all.add(connection);
  }

  void closed(ClientConnection connection) {
    all.remove(connection);
    idle.remove(connection);
  }

  /** Closes all connections; requests on their way fail. */
  public void closeConnections() {
    List.copyOf(all).forEach(ClientConnection::close);
  }

  /** A request whose connection is being opened. */
  private static final class PendingCall implements ClientCall {

    private final ClientRequest request;
    private final ClientListener listener;
    private ClientCall running;
    private boolean cancelled;

    PendingCall(ClientRequest request, ClientListener listener) {
      this.request = request;
      this.listener = listener;
    }

    void connected(ChannelFuture done) {
      if (cancelled) {
        done.channel().close();
      } else if (done.isSuccess()) {
        ClientConnection connection = done.channel().pipeline().get(ClientConnection.class);
        running = connection.send(request, listener);
      } else {
        listener.failed(
            new ClientListener.Failure(false, "connection not opened: " + done.cause()));
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (running != null) {
        running.cancel();
      }
    }
  }
}
