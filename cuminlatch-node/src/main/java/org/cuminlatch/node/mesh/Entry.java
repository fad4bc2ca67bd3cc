package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.admission.LagLimit;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RoutePolicy;
import org.cuminlatch.core.retry.RetryBudget;
import org.cuminlatch.core.route.LinkBudget;
import org.cuminlatch.core.route.LoadPolicy;
import org.cuminlatch.core.route.RequestHead;
import org.cuminlatch.core.route.ServiceBalancer;
import org.cuminlatch.core.route.TargetLoads;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.http.ExchangeHandler;
import org.cuminlatch.node.http.ServerExchange;

/** Where callers' requests enter the mesh; used on the traffic loop. */
final class Entry implements ExchangeHandler {

  /** Bytes a second that one node may move to the other region and back. */
  private static final long REGION_LINK_BYTES_PER_SECOND = 200_000;

  /**
   * Repeats that a node may send per first attempt. At the last of three levels of calls, where
   * each repeated execution makes its calls again, this stays below the 0.2 that operators usually
   * allow.
   */
  static final double RETRY_SHARE = 0.06;

  /** Repeats that a node may save up; small, as all nodes may spend theirs at the same time. */
  private static final double MOST_SAVED_RETRIES = 4;

  private static final double RETRY_RESERVE = 1;

  /** Mean size of the answers of a route from which on they stay at the nearest place. */
  private static final double LARGE_ANSWER_BYTES = 16_384;

  private static final double SIZE_SMOOTHING = 0.1;

  private static final int MOST_ID_CHARS = 128;
  private static final double RETRY_SOON_SECONDS = 0.5;

  private final EventLoop loop;
  private final MeshSettings settings;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final PeerLinks links;
  private final Supplier<MeshView> view;
  private final LoopLag lag;
  private final EventLog log;
  private final MeshMetrics metrics;
  private final TargetLoads loads = new TargetLoads(LoadPolicy.FAILURE_WEIGHTED);
  private final LinkBudget link;
  private final ServiceBalancer placement;
  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private final Map<String, Double> answerBytes = new HashMap<>();
  private boolean closed;
  private final Set<EntryCall> calls = new HashSet<>();

  Entry(
      EventLoop loop,
      MeshSettings settings,
      InstantSource clock,
      RandomGenerator random,
      PeerLinks links,
      Supplier<MeshView> view,
      LoopLag lag,
      EventLog log,
      MeshMetrics metrics) {
    this.loop = loop;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.links = links;
    this.view = view;
    this.lag = lag;
    this.log = log;
    this.metrics = metrics;
    this.link = new LinkBudget(REGION_LINK_BYTES_PER_SECOND, clock.instant());
    this.placement = new ServiceBalancer(loads, link);
  }

  @Override
  public void handle(ServerExchange exchange) {
    List<String> ids = exchange.headers(settings.headers().requestId());
    if (ids.size() != 1 || ids.get(0).isEmpty() || ids.get(0).length() > MOST_ID_CHARS) {
      reject(exchange, "-", 400, "request has no single id");
      return;
    }
    String id = ids.get(0);
    if (!exchange.target().startsWith("/")) {
      reject(exchange, id, 400, "target of the request is not a path");
      return;
    }
    if (closed) {
      refuse(exchange, id, "node stops", RETRY_SOON_SECONDS);
      return;
    }
    MeshView now = view.get();
    if (now.table().isEmpty()) {
      refuse(exchange, id, "no configuration yet", RETRY_SOON_SECONDS);
      return;
    }
    Optional<Route> route = now.table().get().match(headOf(exchange));
    if (route.isEmpty()) {
      reject(exchange, id, 404, "no route in configuration " + now.version());
      return;
    }
    Optional<Duration> comeBack = LagLimit.retryAfter(route.get().policy().priority(), lag.value());
    if (comeBack.isPresent()) {
      refuse(exchange, id, "node is behind", comeBack.get().toMillis() / 1000.0);
      return;
    }
    EntryCall call = new EntryCall(this, exchange, id, route.get(), service(route.get()));
    calls.add(call);
    call.start();
  }

  private static RequestHead headOf(ServerExchange exchange) {
    String target = exchange.target();
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    String host = exchange.header("host").orElse("");
    int colon = host.lastIndexOf(':');
    String name = colon < 0 ? host : host.substring(0, colon);
    return new RequestHead(exchange.method(), name.toLowerCase(Locale.ROOT), path, Map.of());
  }

  /** Returns the service of a call, by weight where several share the route. */
  private String service(Route route) {
    List<RoutePolicy.Share> split = route.policy().split();
    double sum = split.stream().mapToDouble(RoutePolicy.Share::weight).sum();
    double place = random.nextDouble() * sum;
    for (RoutePolicy.Share share : split) {
      place -= share.weight();
      if (place < 0) {
        return share.service();
      }
    }
    return route.service();
  }

  private void reject(ServerExchange exchange, String id, int status, String reason) {
    log.request("rejected", id)
        .with("status", status)
        .with("reason", reason)
        .with("path", exchange.target())
        .write();
    metrics.rejected(status);
    exchange.respond(status, List.of(), (reason + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Says that a request has not run and when to come back. */
  void refuse(ServerExchange exchange, String id, String reason, double retrySeconds) {
    log.request("refused", id)
        .with("status", 503)
        .with("reason", reason)
        .with("retryAfter", retrySeconds)
        .with("config", view.get().version())
        .write();
    metrics.refused(reason);
    String after = String.format(Locale.ROOT, "%.3f", retrySeconds);
    exchange.respond(
        503,
        List.of(Map.entry("Retry-After", after)),
        (reason + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Refuses what comes from now on, as the node is about to stop. */
  void close() {
    closed = true;
  }

  void ended(EntryCall call) {
    calls.remove(call);
  }

  RetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service, unused -> new RetryBudget(RETRY_RESERVE, MOST_SAVED_RETRIES));
  }

  /** Takes the size of an answer of a route. */
  void answerSize(String route, long bytes) {
    answerBytes.merge(route, (double) bytes, (mean, size) -> mean + SIZE_SMOOTHING * (size - mean));
  }

  /** Returns whether the answers of a route are too large to be carried far without need. */
  boolean answersAreLarge(String route) {
    return answerBytes.getOrDefault(route, 0.0) >= LARGE_ANSWER_BYTES;
  }

  Optional<ServiceBalancer.ChosenTarget> place(
      String service, Set<String> avoided, boolean nearest) {
    return placement.chooseTarget(
        links.index(),
        service,
        Optional.ofNullable(view.get().rules().get(service)),
        new ServiceBalancer.Context(settings.locality(), avoided, nearest, now()),
        random);
  }

  boolean knowsTargetOf(String service) {
    return !links.index().serving(service).isEmpty();
  }

  Instant now() {
    return clock.instant();
  }

  /** Returns when a request that is read now has probably arrived. */
  Instant arrival() {
    return now().minus(lag.value().dividedBy(2));
  }

  EventLoop loop() {
    return loop;
  }

  MeshSettings settings() {
    return settings;
  }

  RandomGenerator random() {
    return random;
  }

  PeerLinks links() {
    return links;
  }

  TargetLoads loads() {
    return loads;
  }

  LinkBudget link() {
    return link;
  }

  EventLog log() {
    return log;
  }

  MeshMetrics metrics() {
    return metrics;
  }

  long configVersion() {
    return view.get().version();
  }

  boolean isIdle() {
    return calls.isEmpty();
  }

  Duration oldestCall() {
    return calls.stream()
        .map(call -> Duration.between(call.startedAt(), now()))
        .max(Duration::compareTo)
        .orElse(Duration.ZERO);
  }
}
