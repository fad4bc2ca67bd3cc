package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.notNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.target.ConnectionReusePolicy;

/**
 * HTTP client of one server, with a pool of connections that carry one request at a time.
 *
 * <p>A connection is reused only if the request was completely written, its response completely
 * received, and no byte since, and not while the server sends bytes that it was not asked for. Used
 * on one event loop.
 */
public final class HttpClient {

  private final EventLoopGroup group;
  private final Address server;
  private final InstantSource clock;
  private final Duration connectTimeout;
  private final int maxBodyBytes;
  private final long maxBufferedBytes;
  private Consumer<UnsolicitedBytes> unsolicitedBytesListener = bytes -> {};
  private Consumer<String> invalidStatusListener = status -> {};
  private final ConnectionReusePolicy reusePolicy = new ConnectionReusePolicy();
  private long bufferedBytes;
  private final Deque<ClientConnection> idleConnections = new ArrayDeque<>();
  private final Set<ClientConnection> openConnections = new HashSet<>();

  /**
   * Creates a client without connections.
   *
   * @param group event loop group of one thread
   * @param server address of the server
   * @param clock clock that does not go back
   * @param connectTimeout maximum time to open a connection
   * @param maxBodyBytes maximum size of a response's body in bytes
   * @param maxBufferedBytes maximum size in bytes of the bodies that are being received at a time;
   *     if it is exceeded, the request with the largest one fails
   */
  public HttpClient(
      EventLoopGroup group,
      Address server,
      InstantSource clock,
      Duration connectTimeout,
      int maxBodyBytes,
      long maxBufferedBytes) {
    this.group = notNull(group, "group");
    this.server = notNull(server, "server");
    this.clock = notNull(clock, "clock");
    this.connectTimeout = notNull(connectTimeout, "connectTimeout");
    this.maxBodyBytes = maxBodyBytes;
    this.maxBufferedBytes = maxBufferedBytes;
  }

  /**
   * Sets the listener for bytes that the server sends without having been asked for them.
   *
   * @param listener called on the event loop
   */
  public void listenForUnsolicitedBytes(Consumer<UnsolicitedBytes> listener) {
    unsolicitedBytesListener = notNull(listener, "listener");
  }

  /**
   * Sets the listener for responses with an invalid status: one that is not 100 to 599, or 101.
   * Such a response ends its request and the connection.
   *
   * @param listener called on the event loop with the status as the server sent it, cut short
   */
  public void listenForInvalidStatus(Consumer<String> listener) {
    invalidStatusListener = notNull(listener, "listener");
  }

  /**
   * Sends a request.
   *
   * @param request the request
   * @param listener notified of the response or the failure
   * @return the running request, which can be cancelled
   */
  public ClientCall send(ClientRequest request, ClientListener listener) {
    ClientConnection idleConnection = takeIdle(request.maxIdleTime());
    if (idleConnection != null) {
      return idleConnection.send(request, listener);
    }
    PendingCall pending = new PendingCall(request, listener);
    openConnection()
        .addListener((ChannelFuture connectFuture) -> pending.onConnected(connectFuture));
    return pending;
  }

  /**
   * Reserves a connection for a request whose body is sent in parts. Nothing is sent before the
   * request is started.
   *
   * @param maxIdleTime maximum time for which a reused connection may have been idle
   * @param listener notified of the open connection, and then of the response or the failure
   * @return the request, which is to be started once the connection is open
   */
  public ClientUpload openUpload(Duration maxIdleTime, UploadListener listener) {
    PendingUpload pending = new PendingUpload(notNull(listener, "listener"));
    ClientConnection idleConnection = takeIdle(maxIdleTime);
    if (idleConnection != null) {
      group.next().execute(() -> pending.onReserved(idleConnection));
      idleConnection.reserve(listener);
      pending.connection = idleConnection;
    } else {
      openConnection()
          .addListener((ChannelFuture connectFuture) -> pending.onConnected(connectFuture));
    }
    return pending;
  }

  private ChannelFuture openConnection() {
    return bootstrap()
        .handler(
            new ChannelInitializer<ProbedSocketChannel>() {
              @Override
              protected void initChannel(ProbedSocketChannel channel) {
                ClientConnection connection =
                    new ClientConnection(HttpClient.this, channel, maxBodyBytes);
                connection.addTo(channel.pipeline());
              }
            })
        .connect(server.host(), server.port());
  }

  /**
   * Opens a connection and closes it again, to test whether the server is reachable.
   *
   * @param result called with true if the connection was opened, otherwise with false
   */
  public void probe(Consumer<Boolean> result) {
    bootstrap()
        .handler(new ChannelInboundHandlerAdapter())
        .connect(server.host(), server.port())
        .addListener(
            (ChannelFuture connectFuture) -> {
              connectFuture.channel().close();
              result.accept(connectFuture.isSuccess());
            });
  }

  private Bootstrap bootstrap() {
    return new Bootstrap()
        .group(group)
        .channelFactory(ProbedSocketChannel::new)
        .option(ChannelOption.TCP_NODELAY, true)
        // the end of the server's bytes is seen while the channel is active, unlike a reset
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis());
  }

  private ClientConnection takeIdle(Duration maxIdleTime) {
    for (; ; ) {
      ClientConnection newest = idleConnections.pollFirst();
      if (newest == null) {
        return null;
      }
      if (!newest.isUsable()) {
        newest.close();
      } else if (newest.idleTime().compareTo(maxIdleTime) > 0) {
        idleConnections.addFirst(newest);
        return null;
      } else if (newest.probeIsQuiet()) {
        return newest;
      } else {
        newest.close();
      }
    }
  }

  /** Counts bytes of bodies that have been received, negative ones if they are no longer held. */
  void onBuffered(int bytes) {
    bufferedBytes += bytes;
    if (bufferedBytes > maxBufferedBytes) {
      openConnections.stream()
          .max(Comparator.comparingInt(ClientConnection::bufferedBytes))
          .ifPresent(ClientConnection::failForMemory);
    }
  }

  void onUnsolicitedBytes(UnsolicitedBytes.Position position, int bytes) {
    reusePolicy.recordUnsolicitedBytes(clock.instant());
    closeIdleConnections();
    unsolicitedBytesListener.accept(new UnsolicitedBytes(position, bytes));
  }

  void onInvalidStatus(String status) {
    invalidStatusListener.accept(status);
  }

  /** Returns whether a connection may carry another request after its present one. */
  boolean permitsReuse() {
    return reusePolicy.permitsReuse(clock.instant());
  }

  void onReleased(ClientConnection connection) {
    idleConnections.addFirst(connection);
    ClientConnection oldest = idleConnections.peekLast();
    while (oldest != null && !oldest.isUsable()) {
      oldest.close();
      idleConnections.remove(oldest);
      oldest = idleConnections.peekLast();
    }
  }

  void onOpened(ClientConnection connection) {
    openConnections.add(connection);
  }

  void onClosed(ClientConnection connection) {
    openConnections.remove(connection);
    idleConnections.remove(connection);
  }

  /** Closes the connections that carry no request. */
  public void closeIdleConnections() {
    List.copyOf(idleConnections).forEach(ClientConnection::close);
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

    void onConnected(ChannelFuture connectFuture) {
      if (cancelled) {
        connectFuture.channel().close();
      } else if (connectFuture.isSuccess()) {
        ClientConnection connection =
            connectFuture.channel().pipeline().get(ClientConnection.class);
        running = connection.send(request, listener);
      } else {
        listener.onFailure(
            new ClientListener.Failure(
                false, "connection could not be opened: " + connectFuture.cause()));
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (running != null) {
        running.cancel();
      }
    }

    @Override
    public boolean hasResponseStarted() {
      return running != null && running.hasResponseStarted();
    }
  }

  /** A request whose body is sent in parts, on a connection that is being opened or reserved. */
  private static final class PendingUpload implements ClientUpload {

    private final UploadListener listener;
    private ClientConnection connection;
    private ClientRequest started;
    private boolean cancelled;

    PendingUpload(UploadListener listener) {
      this.listener = listener;
    }

    void onConnected(ChannelFuture connectFuture) {
      if (cancelled) {
        connectFuture.channel().close();
      } else if (connectFuture.isSuccess()) {
        connection = connectFuture.channel().pipeline().get(ClientConnection.class);
        connection.reserve(listener);
        listener.onOpened();
      } else {
        listener.onFailure(
            new ClientListener.Failure(
                false, "connection could not be opened: " + connectFuture.cause()));
      }
    }

    void onReserved(ClientConnection reserved) {
      if (!cancelled && reserved.isReserved()) {
        listener.onOpened();
      }
    }

    @Override
    public boolean start(ClientRequest request, long length) {
      started = request;
      return !cancelled && connection.start(request, length);
    }

    @Override
    public ChannelFuture send(byte[] content, boolean last) {
      return connection.sendPart(started, content, last);
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (connection != null) {
        connection.cancelUpload(started);
      }
    }

    @Override
    public boolean hasResponseStarted() {
      return started != null && connection.hasResponseStarted(started);
    }
  }
}
