package org.cuminlatch.node.mesh;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cuminlatch.core.admission.StopAdmission;
import org.cuminlatch.core.config.CallerLimits;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.move.CallOutcome.Result;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.target.TargetReport;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.http.ExchangeHandler;
import org.cuminlatch.node.http.HttpClient;
import org.cuminlatch.node.http.HttpServer;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.Body;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Cancel;
import org.cuminlatch.wire.proto.call.Credit;
import org.cuminlatch.wire.proto.call.Header;
import org.cuminlatch.wire.proto.call.Hello;
import org.cuminlatch.wire.proto.call.QuotaRequest;
import org.cuminlatch.wire.proto.call.TargetStatus;
import org.cuminlatch.wire.proto.call.ValidityQuery;

/** Runs a gate with a target on the loopback interface and records the frames that it sends. */
final class GateFixture implements AutoCloseable {

  static final HeaderNames HEADERS =
      new HeaderNames(
          "id",
          "deadline",
          "expect",
          "origin",
          "not-run",
          "instance",
          "limit",
          "leaving",
          "account",
          "cold");

  static final String HEALTH_PATH = "/healthz";

  private static final int WAIT_SECONDS = 20;
  private static final String INSTANCE = "i-1";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final List<String> received = new CopyOnWriteArrayList<>();
  private final List<CallFrame> frames = new CopyOnWriteArrayList<>();
  private final CallChannel channel = new RecordingChannel();
  private final MeshMetrics metrics = new MeshMetrics();
  private final MonotonicClock clock = new MonotonicClock();
  private final SlotGate gate;
  private final int slots;
  private volatile ExchangeHandler target = GateFixture::answer;
  private volatile ExchangeHandler healthCheck = exchange -> {};
  private boolean open = true;
  private double coldKnownToEntry;
  private OptionalDouble limitKnownToEntry = OptionalDouble.empty();

  GateFixture(int slots) throws InterruptedException {
    this(slots, Optional.empty());
  }

  /** Creates a gate of a target that a test runs itself. */
  GateFixture(int slots, Address target) throws InterruptedException {
    this(slots, Optional.of(target));
  }

  private GateFixture(int slots, Optional<Address> otherTarget) throws InterruptedException {
    EventLog log = EventLog.start(InstantSource.system(), "node");
    Address address = otherTarget.orElseGet(() -> startTarget(log));
    gate =
        new SlotGate(
            loop,
            new HttpClient(group, address, clock, Duration.ofSeconds(1), 1 << 20, 1 << 24),
            clock,
            HEADERS,
            new LoopLag(Duration.ofMillis(50)),
            log,
            metrics,
            new NoCallback());
    this.slots = slots;
    reportReady(1000, 1);
  }

  private Address startTarget(EventLog log) {
    HttpServer server =
        HttpServer.listen(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            () -> CallerLimits.DEFAULT,
            log,
            this::receive);
    return new Address("127.0.0.1", server.address().getPort());
  }

  /** Opens the gate with a report of a start of the target. */
  void reportReady(long bornMillis, long sequence) throws InterruptedException {
    TargetReport report =
        new TargetReport(
            INSTANCE,
            bornMillis,
            sequence,
            "bookings",
            "v1",
            slots,
            true,
            Optional.of(Duration.ZERO));
    onLoop(() -> gate.open(report));
  }

  private void receive(ServerExchange exchange) {
    if (exchange.requestTarget().equals(HEALTH_PATH)) {
      healthCheck.handle(exchange);
    } else {
      received.add(exchange.header(HEADERS.requestId()).orElseThrow());
      target.handle(exchange);
    }
  }

  /** Answers a request of the gate with 200. */
  static void answer(ServerExchange exchange) {
    answer(exchange, 200, Map.of());
  }

  static void answer(ServerExchange exchange, int status, Map<String, String> headers) {
    List<Map.Entry<String, String>> all = new ArrayList<>(headers.entrySet());
    all.add(Map.entry(HEADERS.requestId(), exchange.header(HEADERS.requestId()).orElseThrow()));
    exchange.respond(status, all, new byte[0]);
  }

  /** Sets how the target answers health checks. */
  void setHealthCheck(ExchangeHandler handler) {
    healthCheck = handler;
  }

  void setTarget(ExchangeHandler handler) {
    target = handler;
  }

  /** Returns the ids of the requests that reached the target. */
  List<String> received() {
    return received;
  }

  SlotGate gate() {
    return gate;
  }

  /** Returns how many attempts were withdrawn after they had been sent to the target. */
  long withdrawnFromTarget() {
    return metrics.registry().counter("attempts_withdrawn{state=\"running\"}").getCount();
  }

  static AttemptId attempt(int number) {
    return new AttemptId(1, number);
  }

  /** Sets the limit that the entry node names with its attempts. */
  void setLimitKnownToEntry(double perSecond) {
    limitKnownToEntry = OptionalDouble.of(perSecond);
  }

  /** Offers an attempt that can be repeated to the gate; must be called on the loop. */
  void begin(int number) {
    begin(number, true);
  }

  /** Offers an attempt to the gate; must be called on the loop. */
  void begin(int number, boolean idempotent) {
    begin(number, idempotent, "r-1", 1 << 20);
  }

  /** Offers an attempt whose answer may be sent as far as its credit in bytes allows. */
  void begin(int number, boolean idempotent, String route, int credit) {
    Begin.Builder begin =
        Begin.newBuilder()
            .setRoute(route)
            .setMethod("GET")
            .setPath("/")
            .addHeaders(Header.newBuilder().setName("Host").setValue("shop.example"))
            .addHeaders(
                Header.newBuilder().setName(HEADERS.requestId()).setValue(Integer.toString(number)))
            .setDeadlineMicros(TimeUnit.SECONDS.toMicros(60))
            .setGoalMicros(TimeUnit.SECONDS.toMicros(60))
            .setIdempotent(idempotent)
            .setBodyComplete(true)
            .setCredit(credit)
            .setRequestId(Integer.toString(number))
            .setExpectedInstance(INSTANCE);
    limitKnownToEntry.ifPresent(begin::setLimitPerSecond);
    begin.setColdPerSecond(coldKnownToEntry);
    gate.onFrame(channel, CallFrames.of(attempt(number)).setBegin(begin).build());
  }

  /** Offers an attempt whose body is sent in parts; must be called on the loop. */
  void beginUpload(int number, long length) {
    Begin begin =
        Begin.newBuilder()
            .setRoute("r-1")
            .setMethod("POST")
            .setPath("/")
            .addHeaders(Header.newBuilder().setName("Host").setValue("shop.example"))
            .addHeaders(
                Header.newBuilder().setName(HEADERS.requestId()).setValue(Integer.toString(number)))
            .setDeadlineMicros(TimeUnit.SECONDS.toMicros(60))
            .setGoalMicros(TimeUnit.SECONDS.toMicros(60))
            .setContentLength(length)
            .setCredit(1 << 20)
            .setRequestId(Integer.toString(number))
            .setExpectedInstance(INSTANCE)
            .build();
    gate.onFrame(channel, CallFrames.of(attempt(number)).setBegin(begin).build());
  }

  /** Sends a part of the body of an attempt; must be called on the loop. */
  void sendBody(int number, int bytes, boolean last) {
    Body body =
        Body.newBuilder().setContent(ByteString.copyFrom(new byte[bytes])).setLast(last).build();
    gate.onFrame(channel, CallFrames.of(attempt(number)).setBody(body).build());
  }

  /** Returns the credit that the gate has granted for the body of an attempt, in bytes. */
  long creditGranted(int number) {
    return frames.stream()
        .filter(frame -> CallFrames.attempt(frame).equals(attempt(number)))
        .mapToLong(frame -> frame.getCredit().getBytes())
        .sum();
  }

  /** Offers an attempt of an entry node that knows the limit of cold targets. */
  void beginCold(int number, double coldPerSecond) {
    coldKnownToEntry = coldPerSecond;
    begin(number);
    coldKnownToEntry = 0;
  }

  /** Announces that the node of the gate stops after some time. */
  void announceStop(Duration period) throws InterruptedException {
    onLoop(
        () -> {
          Instant now = clock.instant();
          gate.onConnected(channel);
          gate.announceStop(new StopAdmission(now, now.plus(period)));
        });
  }

  /** Lets the gate send a further part of an answer; must be called on the loop. */
  void grantCredit(int number, int bytes) {
    gate.onFrame(
        channel,
        CallFrames.of(attempt(number)).setCredit(Credit.newBuilder().setBytes(bytes)).build());
  }

  /** Cancels an attempt; must be called on the loop. */
  void cancel(int number) {
    gate.onFrame(
        channel, CallFrames.of(attempt(number)).setCancel(Cancel.getDefaultInstance()).build());
  }

  /**
   * Replaces the connection on which all attempts have come; the gate is notified in a later task,
   * as with a real connection. Must be called on the loop.
   */
  void replaceConnection() {
    open = false;
    loop.execute(
        () -> {
          gate.onClosed(channel);
          open = true;
        });
  }

  void onLoop(Runnable task) throws InterruptedException {
    loop.submit(task).sync();
  }

  /** Waits for the first frame of a kind that the gate sent for an attempt. */
  CallFrame awaitFrame(int number, CallFrame.KindCase kind) {
    await(() -> find(number, kind).isPresent());
    return find(number, kind).orElseThrow();
  }

  Optional<CallFrame> find(int number, CallFrame.KindCase kind) {
    return frames.stream()
        .filter(frame -> CallFrames.attempt(frame).equals(attempt(number)))
        .filter(frame -> frame.getKindCase() == kind)
        .findFirst();
  }

  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("condition did not hold within " + WAIT_SECONDS + " s");
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Stands for the connection to the entry node. */
  private final class RecordingChannel implements CallChannel {

    @Override
    public void send(CallFrame frame) {
      frames.add(frame);
    }

    @Override
    public void close() {
      // there is no connection to close
    }

    @Override
    public boolean isOpen() {
      return open;
    }

    @Override
    public String peer() {
      return "entry";
    }
  }

  private static final class NoCallback implements SlotGate.GateCallback {

    @Override
    public void onReachabilityChange() {}

    @Override
    public void onExecutionEnd(Begin begin, Result result, Duration took) {}

    @Override
    public void onTargetLeaves(TargetReport target) {}

    @Override
    public void onColdLeft(Duration coldLeft) {}

    @Override
    public void onExitConfirmed(long token, String peer) {}

    @Override
    public void onHello(Hello hello) {}

    @Override
    public void onTargetReplaced() {}

    @Override
    public Optional<CallFrame> configurationFrame() {
      return Optional.empty();
    }

    @Override
    public Optional<CallFrame> moveEvidenceFrame() {
      return Optional.empty();
    }

    @Override
    public Optional<CallFrame> validityAnswer(ValidityQuery query) {
      return Optional.empty();
    }

    @Override
    public Optional<CallFrame> quotaGrants(QuotaRequest request) {
      return Optional.empty();
    }

    @Override
    public TargetStatus targetStatus() {
      return TargetStatus.getDefaultInstance();
    }
  }
}
