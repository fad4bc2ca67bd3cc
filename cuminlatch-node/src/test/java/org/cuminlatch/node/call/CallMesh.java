package org.cuminlatch.node.call;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.ServiceState;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipView;
import org.cuminlatch.core.move.CallOutcome;
import org.cuminlatch.core.move.VersionShares.VersionShare;

/** Several nodes in one process, each reduced to its call path and with a scripted target. */
final class CallMesh implements AutoCloseable {

  static final String SERVICE = "bookings";
  static final String VERSION = "v1";

  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Queue<CallOutcome> outcomes = new ConcurrentLinkedQueue<>();
  private final HttpClient client;
  private volatile List<Member> members = List.of();
  private volatile Duration clockOffset = Duration.ZERO;
  private volatile Snapshot snapshot;

  CallMesh() {
    JdkHttpProperties.configure();
    client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    routes(Route.of("all", "/", SERVICE));
  }

  /** Puts routes in force, all to {@link #SERVICE}. */
  void routes(Route... routes) {
    Map<String, Route> byName = new LinkedHashMap<>();
    for (Route route : routes) {
      byName.put(route.name(), route);
    }
    long version = snapshot == null ? 1 : snapshot.version() + 1;
    ServiceState service = new ServiceState(SERVICE, Set.of(VERSION), VERSION);
    snapshot = new Snapshot(version, "hash", byName, Map.of(SERVICE, service), Map.of());
  }

  static CallLimits limits(Duration timeout, int maxAttempts) {
    CallLimits defaults = CallLimits.defaults();
    return new CallLimits(
        timeout,
        maxAttempts,
        defaults.retryBudget(),
        defaults.idempotentMethods(),
        defaults.idempotenceHeader());
  }

  Node add(String instance, int slots) {
    return add(instance, slots, Optional.empty());
  }

  /** Adds a node that other nodes connect to through a relay, if there is one. */
  Node add(String instance, int slots, Optional<TcpRelay> relay) {
    Node node = new Node(instance, slots, relay);
    nodes.put(instance, node);
    publishMembers();
    return node;
  }

  private void publishMembers() {
    List<Member> currentMembers = new ArrayList<>();
    nodes.values().forEach(node -> currentMembers.add(node.member));
    members = List.copyOf(currentMembers);
  }

  /** Advances the clock of all nodes. */
  void advance(Duration time) {
    clockOffset = clockOffset.plus(time);
  }

  Instant now() {
    return Instant.now().plus(clockOffset);
  }

  Collection<CallOutcome> outcomes() {
    return outcomes;
  }

  HttpResponse<String> get(Node entry, String path) throws IOException, InterruptedException {
    return send(HttpRequest.newBuilder(entry.uri(path)));
  }

  HttpResponse<String> post(Node entry, String path, String body)
      throws IOException, InterruptedException {
    return send(
        HttpRequest.newBuilder(entry.uri(path)).POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
    return client.send(request.timeout(Duration.ofSeconds(30)).build(), BodyHandlers.ofString());
  }

  HttpClient client() {
    return client;
  }

  static String outcome(HttpResponse<?> response) {
    return response.headers().firstValue(CallHeaders.OUTCOME).orElse("");
  }

  static String reason(HttpResponse<?> response) {
    return response.headers().firstValue(CallHeaders.REASON).orElse("");
  }

  @Override
  public void close() {
    nodes.values().forEach(Node::close);
  }

  /** A node with its target. */
  final class Node implements MembershipView {

    private final ScriptedTarget target = new ScriptedTarget();
    private final CallPath path;
    private volatile Member member;

    Node(String instance, int slots, Optional<TcpRelay> relay) {
      InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      CallPathSettings settings = CallPathSettings.of(anyPort, anyPort, target.uri(), slots);
      member = memberOf(instance, slots, new Address("127.0.0.1", 1));
      path =
          CallPath.start(
              settings,
              new CallPathDependencies(
                  () -> snapshot,
                  this,
                  (config, route) -> List.of(new VersionShare(VERSION, 1)),
                  outcomes::add,
                  () -> member,
                  CallMesh.this::now,
                  new SecureRandom(),
                  new MetricRegistry()));
      InetSocketAddress forward = path.forwardAddress();
      relay.ifPresent(tcpRelay -> tcpRelay.forwardTo(forward));
      int port = relay.map(TcpRelay::port).orElse(forward.getPort());
      member = memberOf(instance, slots, new Address("127.0.0.1", port));
    }

    private static Member memberOf(String instance, int slots, Address address) {
      return new Member(
          instance,
          1,
          Member.Status.ALIVE,
          address,
          address,
          new Locality("ege", "izmir"),
          SERVICE,
          VERSION,
          slots,
          Member.Phase.SERVING,
          Set.of(1),
          1,
          "hash");
    }

    ScriptedTarget target() {
      return target;
    }

    CallPath path() {
      return path;
    }

    URI uri(String requestPath) {
      return URI.create("http://127.0.0.1:" + path.callerAddress().getPort() + requestPath);
    }

    /** Announces another phase to all nodes. */
    void announce(Member.Phase phase) {
      Member previous = member;
      member =
          new Member(
              previous.instance(),
              previous.incarnation() + 1,
              previous.status(),
              previous.controlAddress(),
              previous.callAddress(),
              previous.locality(),
              previous.service(),
              previous.targetVersion(),
              previous.slots(),
              phase,
              previous.schemaVersions(),
              previous.configVersion(),
              previous.stateHash());
      publishMembers();
    }

    @Override
    public Collection<Member> members() {
      return members;
    }

    @Override
    public Optional<Member> member(String instance) {
      return members.stream().filter(known -> known.instance().equals(instance)).findFirst();
    }

    void close() {
      path.close();
      target.close();
    }
  }
}
