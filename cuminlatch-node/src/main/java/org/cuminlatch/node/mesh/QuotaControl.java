package org.cuminlatch.node.mesh;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.cuminlatch.core.config.ClientAccount;
import org.cuminlatch.core.config.ClientAccount.Quota;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.quota.AllocatorSelection;
import org.cuminlatch.core.quota.QuotaAllocator;
import org.cuminlatch.core.quota.QuotaClient;
import org.cuminlatch.core.quota.QuotaClient.QuotaToken;
import org.cuminlatch.core.quota.QuotaGrant;
import org.cuminlatch.core.quota.QuotaRequest;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.QuotaGrants;

/**
 * Keeps the quotas of client accounts over all nodes: asks the allocators for tokens, and grants
 * them where this node is one; used on the traffic loop. Does nothing while no account has a quota.
 */
final class QuotaControl {

  private final Address self;
  private final EventLoop traffic;
  private final PeerLinks links;
  private final Supplier<RoutingView> view;
  private final EventLog log;
  private final MeshMetrics metrics;

  /** Advances also while the machine is suspended, as tokens must not outlast their time. */
  private final Supplier<Duration> clock = new ElapsedClock();

  private final Duration startedAt;
  private final AllocatorSelection selection;

  /** Allocators by group; the own node may be the allocator of several. */
  private final Map<Integer, QuotaAllocator> allocators = new HashMap<>();

  private final QuotaClient client;
  private Set<Address> knownNodes = Set.of();
  private Optional<Snapshot> checkedSnapshot = Optional.empty();
  private boolean active;
  private String loggedAllocator = "";

  QuotaControl(
      Address self,
      EventLoop traffic,
      PeerLinks links,
      Supplier<RoutingView> view,
      EventLog log,
      MeshMetrics metrics) {
    this.self = self;
    this.traffic = traffic;
    this.links = links;
    this.view = view;
    this.log = log;
    this.metrics = metrics;
    this.selection = new AllocatorSelection(self.toString());
    this.startedAt = clock.get();
    this.client =
        new QuotaClient(
            self.toString(), startedAt, selection, this::connectedNodes, this::sendRequest);
  }

  private Optional<Quota> quotaOf(String account) {
    return snapshot()
        .map(configuration -> configuration.accounts().get(account))
        .flatMap(ClientAccount::quota);
  }

  private Optional<Snapshot> snapshot() {
    return view.get().table().map(table -> table.snapshot());
  }

  private Set<String> connectedNodes() {
    Set<String> connected = new HashSet<>();
    for (PeerLink link : links.responsive()) {
      if (link.status().filter(status -> !status.getNodeStops()).isPresent()) {
        connected.add(link.address().toString());
      }
    }
    return connected;
  }

  private void sendRequest(String to, QuotaRequest request) {
    if (to.equals(self.toString())) {
      List<QuotaGrant> grants = grant(request);
      traffic.execute(() -> client.onGrants(request.number(), grants, clock.get()));
    } else {
      links.sendTo(Address.parse(to), QuotaFrames.encodeRequest(request));
    }
  }

  private List<QuotaGrant> grant(QuotaRequest request) {
    List<QuotaGrant> grants =
        allocators
            .computeIfAbsent(
                request.group(), unused -> new QuotaAllocator(this::quotaOf, startedAt))
            .handle(request, selection.knownNodes(), clock.get());
    metrics.countQuotaTokens(grants.stream().mapToLong(QuotaGrant::tokens).sum());
    return grants;
  }

  /**
   * Returns the answer to another node's request. It is empty if the request is not valid, or if
   * this node knows no quotas yet: the other node asks again.
   */
  Optional<CallFrame> answer(org.cuminlatch.wire.proto.call.QuotaRequest frame) {
    if (snapshot().isEmpty()) {
      return Optional.empty();
    }
    updateKnownNodes();
    return QuotaFrames.decodeRequest(frame)
        .filter(request -> request.group() < selection.groups())
        .map(request -> QuotaFrames.encodeGrants(request.number(), grant(request)));
  }

  void onGrants(QuotaGrants grants) {
    client.onGrants(grants.getNumber(), QuotaFrames.decodeGrants(grants), clock.get());
  }

  /** Asks for a token for a request of an account with a quota. */
  void acquire(String account, QuotaClient.Waiter waiter) {
    updateKnownNodes();
    client.acquire(account, waiter, clock.get());
  }

  /** Takes back the token of a request that has not run and will not run. */
  void giveBack(QuotaToken token) {
    client.giveBack(token, clock.get());
  }

  boolean hasWaiting() {
    return client.waiting() > 0;
  }

  /** Reads the clock, and sends the requests and votes that are due. */
  void tick() {
    final Duration now = clock.get();
    Optional<Snapshot> current = snapshot();
    if (!current.equals(checkedSnapshot)) {
      checkedSnapshot = current;
      active =
          current.stream()
              .flatMap(configuration -> configuration.accounts().values().stream())
              .anyMatch(account -> account.quota().isPresent());
    }
    if (!active && !hasWaiting()) {
      return;
    }
    updateKnownNodes();
    client.tick(now);
    logAllocator();
  }

  private void updateKnownNodes() {
    if (links.knownNodes() != knownNodes) {
      knownNodes = links.knownNodes();
      selection.setKnown(knownNodes.stream().map(Address::toString).toList());
    }
  }

  private void logAllocator() {
    String current = client.allocator(0);
    if (!current.equals(loggedAllocator)) {
      log.event("quota-allocator")
          .with("allocator", current)
          .with("before", loggedAllocator)
          .with("groups", selection.groups())
          .with("knownNodes", selection.knownNodes())
          .write();
      loggedAllocator = current;
    }
  }

  /**
   * Returns the mean share of the votes over all groups, so that those of all nodes add up to 1.
   */
  private double voteShare() {
    return allocators.values().stream().mapToDouble(QuotaAllocator::share).sum()
        / selection.groups();
  }

  private int allocatedAccounts() {
    return allocators.values().stream().mapToInt(QuotaAllocator::accounts).sum();
  }

  void addGauges(MetricRegistry registry) {
    registry.gauge("quota_vote_share", () -> this::voteShare);
    registry.gauge("quota_accounts", () -> this::allocatedAccounts);
    registry.gauge("quota_calls_waiting", () -> client::waiting);
  }
}
