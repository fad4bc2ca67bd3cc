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

/** Nodes in one process, each with the call path alone and a scripted target beside it. */
final class CallMesh implements AutoCloseable {

  static final String SERVICE = "bookings";
  static final String VERSION = "v1";

  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Queue<CallOutcome> outcomes = new ConcurrentLinkedQueue<>();
  private final HttpClient client;
  private volatile List<Member> members = List.of();
  private volatile Duration ahead = Duration.ZERO;
  private volatile Snapshot snapshot;

  CallMesh() {
    JdkHttp.configure();
    client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    routes(Route.of("all", "/", SERVICE));
  }

  /** Puts routes in force, all to the one service. */
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

  /** Adds a node that others reach by another address than it listens on. */
  Node add(String instance, int slots, Optional<Relay> relay) {
    Node node = new Node(instance, slots, relay);
    nodes.put(instance, node);
    publish();
    return node;
  }

  private void publish() {
    List<Member> present = new ArrayList<>();
    nodes.values().forEach(node -> present.add(node.member));
    members = List.copyOf(present);
  }

  /** Lets the clock of all nodes jump ahead. */
  void advance(Duration time) {
    ahead = ahead.plus(time);
  }

  Instant now() {
    return Instant.now().plus(ahead);
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

  /** One node with its target. */
  final class Node implements MembershipView {

    private final ScriptedTarget target = new ScriptedTarget();
    private final CallPath path;
    private volatile Member member;

    Node(String instance, int slots, Optional<Relay> relay) {
      InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      CallPathSettings settings = CallPathSettings.of(any, any, target.uri(), slots);
      member = memberOf(instance, slots, new Address("127.0.0.1", 1));
      path =
          CallPath.start(
              settings,
              new CallPathInputs(
                  () -> snapshot,
                  this,
                  (config, route) -> List.of(new VersionShare(VERSION, 1)),
                  outcomes::add,
                  () -> member,
                  CallMesh.this::now,
                  new SecureRandom(),
                  new MetricRegistry()));
      InetSocketAddress forward = path.forwardAddress();
      relay.ifPresent(between -> between.forwardTo(forward));
      int port = relay.map(Relay::port).orElse(forward.getPort());
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
      Member known = member;
      member =
          new Member(
              known.instance(),
              known.incarnation() + 1,
              known.status(),
              known.controlAddress(),
              known.callAddress(),
              known.locality(),
              known.service(),
              known.targetVersion(),
              known.slots(),
              phase,
              known.schemaVersions(),
              known.configVersion(),
              known.stateHash());
      publish();
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
