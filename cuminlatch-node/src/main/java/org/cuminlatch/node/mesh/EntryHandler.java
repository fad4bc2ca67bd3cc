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
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.admission.CallerPatience;
import org.cuminlatch.core.admission.LagLimit;
import org.cuminlatch.core.admission.RequestOrigin;
import org.cuminlatch.core.admission.StopAdmission;
import org.cuminlatch.core.config.ClientAccount;
import org.cuminlatch.core.config.ColdStart;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RoutePolicy;
import org.cuminlatch.core.quota.QuotaClient;
import org.cuminlatch.core.quota.QuotaClient.QuotaToken;
import org.cuminlatch.core.retry.RetryBudget;
import org.cuminlatch.core.route.HomeRegions;
import org.cuminlatch.core.route.LinkBudget;
import org.cuminlatch.core.route.LoadPolicy;
import org.cuminlatch.core.route.RequestHead;
import org.cuminlatch.core.route.ServiceBalancer;
import org.cuminlatch.core.route.TargetLoads;
import org.cuminlatch.node.event.Decimals;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.http.ExchangeHandler;
import org.cuminlatch.node.http.Rejection;
import org.cuminlatch.node.http.ServerExchange;

/** Handles callers' requests at their entry into the mesh; used on the traffic loop. */
final class EntryHandler implements ExchangeHandler {

  /** Bytes per second that one node may send to and receive from the other region. */
  private static final long REGION_LINK_BYTES_PER_SECOND = 200_000;

  /**
   * Retries that a node may send per first attempt. A retried execution makes its own calls again,
   * so that retries multiply from level to level. With three levels of calls, this share keeps them
   * below the 0.2 per request that operators usually allow.
   */
  static final double RETRY_SHARE = 0.06;

  /**
   * Unused retries that a node may save for a service. All nodes may use theirs at the same time,
   * and operators allow little more than one per node beside the share of the requests.
   */
  private static final double MAX_SAVED_RETRIES = 1;

  /** Retries to each service that a node may send before it has earned any. */
  private static final double RETRY_RESERVE = 1;

  /** Mean size of a route's answers from which its first attempts stay at the nearest place. */
  private static final double LARGE_ANSWER_BYTES = 16_384;

  /** Weight of the latest answer in the mean answer size of a route. */
  private static final double ANSWER_SIZE_SMOOTHING = 0.1;

  private static final String AUTHORIZATION = "authorization";
  private static final int MAX_REQUEST_ID_CHARS = 128;
  private static final double DEFAULT_RETRY_AFTER_SECONDS = 0.5;

  /**
   * Bounds of the delay after which a caller over its quota should retry. A quota that is used up
   * has room for a few requests at any time, so that callers return soon, and not together.
   */
  private static final double MIN_QUOTA_RETRY_AFTER_SECONDS = 0.3;

  private static final double MAX_QUOTA_RETRY_AFTER_SECONDS = 1.2;

  private static final String NO_CONFIGURATION = "no configuration yet";
  private static final String NO_HOME_TARGET = "no target in the home regions of ";

  private final EventLoop loop;
  private final MeshSettings settings;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final PeerLinks links;
  private final CallOrigins origins;
  private final Supplier<RoutingView> view;
  private final KeyProofs keyProofs;
  private final QuotaControl quotas;
  private final LoopLag lag;
  private final EventLog log;
  private final MeshMetrics metrics;
  private final TargetLoads loads = new TargetLoads(LoadPolicy.FAILURE_WEIGHTED);
  private final LinkBudget regionLink;
  private final ServiceBalancer balancer;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private final NamedLimits namedLimits = new NamedLimits();
  private final Map<String, Double> meanAnswerBytes = new HashMap<>();
  private Optional<StopAdmission> stop = Optional.empty();
  private final CallerPatience patience = new CallerPatience();
  private final Set<EntryCall> calls = new HashSet<>();
  private final StartupWait startup;

  EntryHandler(
      EventLoop loop,
      MeshSettings settings,
      InstantSource clock,
      RandomGenerator random,
      PeerLinks links,
      CallOrigins origins,
      Supplier<RoutingView> view,
      KeyProofs keyProofs,
      QuotaControl quotas,
      LoopLag lag,
      EventLog log,
      MeshMetrics metrics) {
    this.loop = loop;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.links = links;
    this.origins = origins;
    this.view = view;
    this.keyProofs = keyProofs;
    this.quotas = quotas;
    this.lag = lag;
    this.log = log;
    this.metrics = metrics;
    this.regionLink = new LinkBudget(REGION_LINK_BYTES_PER_SECOND, clock.instant());
    this.balancer = new ServiceBalancer(loads, regionLink, links.coldTargets());
    this.startup = new StartupWait(this);
  }

  /**
   * Result of the checks that need only the head of a request.
   *
   * @param rejection reason not to handle the request, empty if it may go on
   * @param id id of the request
   * @param route route of the request, null if it is rejected
   * @param caller caller of the request, null if it is rejected
   * @param ready tells when the reason will have gone, empty if the request needs not wait
   */
  private record CheckedHead(
      Optional<Rejection> rejection,
      String id,
      Route route,
      CallerIdentity caller,
      Optional<BooleanSupplier> ready) {

    static CheckedHead rejected(String id, int status, String reason) {
      return new CheckedHead(
          Optional.of(new Rejection(id, status, reason, OptionalDouble.empty())),
          id,
          null,
          null,
          Optional.empty());
    }

    /** Creates the result for a request that may wait until something is no longer missing. */
    static CheckedHead later(String id, String reason, BooleanSupplier ready) {
      OptionalDouble retryAfter = OptionalDouble.of(DEFAULT_RETRY_AFTER_SECONDS);
      return new CheckedHead(
          Optional.of(new Rejection(id, 503, reason, retryAfter)),
          id,
          null,
          null,
          Optional.of(ready));
    }
  }

  private CheckedHead check(ServerExchange exchange) {
    List<String> ids = exchange.headers(settings.headers().requestId());
    if (ids.size() != 1 || ids.get(0).isEmpty() || ids.get(0).length() > MAX_REQUEST_ID_CHARS) {
      return CheckedHead.rejected("-", 400, "request has no single id");
    }
    String id = ids.get(0);
    if (!exchange.requestTarget().startsWith("/")) {
      return CheckedHead.rejected(id, 400, "target of the request is not a path");
    }
    RoutingView current = view.get();
    if (current.table().isEmpty()) {
      return CheckedHead.later(id, NO_CONFIGURATION, () -> view.get().table().isPresent());
    }
    Optional<Route> route = current.table().get().match(requestHead(exchange));
    if (route.isEmpty()) {
      return CheckedHead.rejected(id, 404, "no route in configuration " + current.version());
    }
    List<String> authorization = exchange.headers(AUTHORIZATION);
    boolean keysAreValid = authorization.isEmpty() || keyProofs.cover(current);
    if (!keysAreValid && !route.get().policy().publicAccess()) {
      return CheckedHead.later(id, KeyProofs.REFUSAL, () -> keyProofs.cover(view.get()));
    }
    CallerIdentity caller =
        CallerIdentity.of(
            keysAreValid ? authorization : List.of(),
            current.table().get().accounts(),
            route.get());
    if (caller == CallerIdentity.UNKNOWN) {
      return CheckedHead.rejected(id, 401, "no client account holds the key of the request");
    }
    return new CheckedHead(Optional.empty(), id, route.get(), caller, Optional.empty());
  }

  @Override
  public Optional<Rejection> checkHead(ServerExchange head) {
    CheckedHead checked = check(head);
    boolean mayWait = checked.ready().isPresent() && startup.isStarting();
    return mayWait ? Optional.empty() : checked.rejection();
  }

  @Override
  public void reject(ServerExchange exchange, Rejection rejection) {
    if (rejection.retryAfterSeconds().isPresent()) {
      refuse(
          exchange,
          rejection.requestId(),
          rejection.reason(),
          rejection.retryAfterSeconds().getAsDouble());
      return;
    }
    log.request("rejected", rejection.requestId())
        .with("status", rejection.status())
        .with("reason", rejection.reason())
        .with("path", exchange.requestTarget())
        .write();
    metrics.countRejected(rejection.status());
    exchange.respond(
        rejection.status(),
        List.of(),
        (rejection.reason() + "\n").getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void handle(ServerExchange exchange) {
    CheckedHead checked = check(exchange);
    if (checked.ready().isPresent()) {
      String reason = checked.rejection().orElseThrow().reason();
      startup.handleLater(exchange, checked.id(), reason, checked.ready().get());
      return;
    }
    if (checked.rejection().isPresent()) {
      reject(exchange, checked.rejection().get());
      return;
    }
    String id = checked.id();
    Route route = checked.route();
    CallerIdentity caller = checked.caller();
    boolean hasKey = !exchange.headers(AUTHORIZATION).isEmpty();
    RequestOrigin origin = origins.of(caller, hasKey, route);
    Optional<Duration> retryAfter =
        LagLimit.retryAfter(origin.nested() ? 0 : caller.priorityOn(route), lag.value());
    if (retryAfter.isPresent()) {
      refuse(exchange, id, "node is behind", retryAfter.get().toMillis() / 1000.0);
      return;
    }
    Instant arrivedAt = estimatedArrival(exchange);
    Optional<Duration> callerTimeout = EntryCall.callerTimeout(this, exchange);
    callerTimeout.ifPresent(timeout -> origins.observe(caller, route, arrivedAt.plus(timeout)));
    Duration waited =
        callerTimeout
            .map(timeout -> patience.waitedBefore(route.name(), timeout))
            .orElse(Duration.ZERO);
    Duration routeTimeout = route.limits().timeout();
    Instant goal = arrivedAt.plus(route.policy().goal()).minus(waited);
    Instant deadline =
        arrivedAt.plus(
            callerTimeout
                .filter(timeout -> timeout.compareTo(routeTimeout) < 0)
                .orElse(routeTimeout));
    if (stop.isPresent() && !stop.get().admitsCall(deadline, now())) {
      refuse(exchange, id, "node stops", DEFAULT_RETRY_AFTER_SECONDS);
      return;
    }
    String service = selectService(route);
    HomeRegions homeRegions = homeRegions(route, caller);
    if (homeRegions.isRestricted() && !startup.isStarting() && !hasTargetOf(service, homeRegions)) {
      refuse(exchange, id, NO_HOME_TARGET + service, DEFAULT_RETRY_AFTER_SECONDS);
      return;
    }
    EntryCall.Times times = new EntryCall.Times(arrivedAt, goal, deadline);
    Optional<ClientAccount> limited = caller.account().filter(known -> known.quota().isPresent());
    if (limited.isEmpty()) {
      start(exchange, id, route, caller, origin, service, times, Optional.empty());
      return;
    }
    boolean[] left = new boolean[1];
    exchange.onCallerDisconnected(() -> left[0] = true);
    quotas.acquire(
        limited.get().name(),
        new QuotaClient.Waiter() {
          @Override
          public void onToken(QuotaToken token) {
            start(exchange, id, route, caller, origin, service, times, Optional.of(token));
          }

          @Override
          public void onRefused() {
            refuseOverQuota(exchange, id, limited.get().name());
          }

          @Override
          public boolean isGone() {
            return left[0];
          }
        });
  }

  private void start(
      ServerExchange exchange,
      String id,
      Route route,
      CallerIdentity caller,
      RequestOrigin origin,
      String service,
      EntryCall.Times times,
      Optional<QuotaToken> token) {
    EntryCall call =
        new EntryCall(this, exchange, id, route, caller, origin, service, times, token);
    calls.add(call);
    call.start();
  }

  /** Takes back the token of a request that has not run. */
  void giveBack(QuotaToken token) {
    quotas.giveBack(token);
  }

  /** Refuses a request over the quota; the refused callers return spread over some time. */
  private void refuseOverQuota(ServerExchange exchange, String id, String account) {
    double retryAfter =
        MIN_QUOTA_RETRY_AFTER_SECONDS
            + random.nextDouble() * (MAX_QUOTA_RETRY_AFTER_SECONDS - MIN_QUOTA_RETRY_AFTER_SECONDS);
    metrics.countOverQuota(account);
    refuse(exchange, id, 429, "over the quota of the account", retryAfter);
  }

  @Override
  public boolean mayOverlap(ServerExchange exchange) {
    return view.get()
        .table()
        .flatMap(table -> table.match(requestHead(exchange)))
        .filter(route -> EntryCall.isIdempotent(exchange, route))
        .isPresent();
  }

  @Override
  public boolean receivesBodiesInParts() {
    return true;
  }

  @Override
  public void onAbandoned(ServerExchange exchange) {
    metrics.countAbandoned();
    log.request("abandoned", exchange.header(settings.headers().requestId()).orElse("-"))
        .with("lagMillis", lag.value().toMillis())
        .write();
  }

  private static RequestHead requestHead(ServerExchange exchange) {
    String target = exchange.requestTarget();
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    String host = exchange.header("host").orElse("");
    int colon = host.lastIndexOf(':');
    String name = colon < 0 ? host : host.substring(0, colon);
    return new RequestHead(exchange.method(), name.toLowerCase(Locale.ROOT), path, Map.of());
  }

  /** Selects the service of a call, at random by weight if the route is split between several. */
  private String selectService(Route route) {
    List<RoutePolicy.Share> split = route.policy().split();
    double sum = split.stream().mapToDouble(RoutePolicy.Share::weight).sum();
    double point = random.nextDouble() * sum;
    for (RoutePolicy.Share share : split) {
      point -= share.weight();
      if (point < 0) {
        return share.service();
      }
    }
    return route.service();
  }

  /** Answers with 503 that a request was not executed, and after which time to retry it. */
  void refuse(ServerExchange exchange, String id, String reason, double retrySeconds) {
    refuse(exchange, id, 503, reason, retrySeconds);
  }

  private void refuse(
      ServerExchange exchange, String id, int status, String reason, double retrySeconds) {
    log.request("refused", id)
        .with("status", status)
        .with("reason", reason)
        .with("retryAfter", retrySeconds)
        .with("config", view.get().version())
        .write();
    metrics.countRefused(reason);
    String after = Decimals.withThreePlaces(retrySeconds);
    exchange.respond(
        status,
        List.of(Map.entry("Retry-After", after)),
        (reason + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Accepts from now on only the calls that the stop of the node leaves time for. */
  void announceStop(StopAdmission admission) {
    stop = Optional.of(admission);
  }

  void onEnded(EntryCall call) {
    calls.remove(call);
    startup.drop(call);
  }

  RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(service, unused -> newRetryBudget());
  }

  static RetryBudget newRetryBudget() {
    return new RetryBudget(RETRY_RESERVE, MAX_SAVED_RETRIES);
  }

  /** Updates the mean answer size of a route. */
  void recordAnswerSize(String route, long bytes) {
    meanAnswerBytes.merge(
        route, (double) bytes, (mean, size) -> mean + ANSWER_SIZE_SMOOTHING * (size - mean));
  }

  /** Returns whether the answers of a route are so large that the nearest place is preferred. */
  boolean answersAreLarge(String route) {
    return meanAnswerBytes.getOrDefault(route, 0.0) >= LARGE_ANSWER_BYTES;
  }

  Optional<ServiceBalancer.ChosenTarget> place(
      String service, HomeRegions homeRegions, Set<String> triedInstances, boolean preferNearest) {
    return balancer.chooseTarget(
        links.index(),
        service,
        Optional.ofNullable(view.get().rules().get(service)),
        new ServiceBalancer.Context(
            settings.locality(), triedInstances, preferNearest, homeRegions, now()),
        random);
  }

  /** Returns the regions in which a call may run by the configuration in force. */
  HomeRegions homeRegions(Route route, CallerIdentity caller) {
    return view.get()
        .table()
        .map(table -> table.homeRegions(route, caller.account()))
        .orElse(HomeRegions.ANY);
  }

  NamedLimits namedLimits() {
    return namedLimits;
  }

  /** Returns the rate of a service's cold targets by the configuration in force, 0 if unlimited. */
  double coldPerSecond(String service) {
    return view.get()
        .table()
        .flatMap(table -> table.snapshot().settingsOf(service).coldStart())
        .map(ColdStart::perSecond)
        .orElse(0.0);
  }

  boolean hasTargetOf(String service, HomeRegions homeRegions) {
    return links.index().serving(service).stream()
        .anyMatch(target -> homeRegions.allows(target.locality()));
  }

  Instant now() {
    return clock.instant();
  }

  /** Returns the estimated arrival of a request: half of the lag before it was read. */
  Instant estimatedArrival(ServerExchange exchange) {
    return now().minus(exchange.age()).minus(lag.value().dividedBy(2));
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

  LinkBudget regionLink() {
    return regionLink;
  }

  EventLog log() {
    return log;
  }

  MeshMetrics metrics() {
    return metrics;
  }

  Duration lag() {
    return lag.value();
  }

  long configVersion() {
    return view.get().version();
  }

  StartupWait startup() {
    return startup;
  }

  boolean isIdle() {
    return calls.isEmpty() && startup.size() == 0 && !quotas.hasWaiting();
  }

  Duration oldestCall() {
    return calls.stream()
        .map(call -> Duration.between(call.startedAt(), now()))
        .max(Duration::compareTo)
        .orElse(Duration.ZERO);
  }
}
