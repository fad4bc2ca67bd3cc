package org.cuminlatch.bench.call;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.ServiceState;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipView;
import org.cuminlatch.core.move.VersionShares.VersionShare;
import org.cuminlatch.node.call.CallPath;
import org.cuminlatch.node.call.CallPathDependencies;
import org.cuminlatch.node.call.CallPathSettings;

/** A node reduced to its call path, without membership and configuration spread. */
final class BenchNode implements AutoCloseable {

  static final String SERVICE = "bookings";

  private static final String VERSION = "v1";
  private static final Address PLACEHOLDER_ADDRESS = new Address("127.0.0.1", 1);

  private final CallPath path;
  private final Member member;

  BenchNode(String instance, URI target, int slots, AtomicReference<List<Member>> members) {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Member placeholder = servingMember(instance, PLACEHOLDER_ADDRESS, slots);
    Snapshot snapshot = snapshot();
    path =
        CallPath.start(
            CallPathSettings.of(anyPort, anyPort, target, slots),
            new CallPathDependencies(
                () -> snapshot,
                view(members),
                (config, route) -> List.of(new VersionShare(VERSION, 1)),
                outcome -> {},
                () -> placeholder,
                InstantSource.system(),
                new SecureRandom(),
                new MetricRegistry()));
    Address address = new Address("127.0.0.1", path.forwardAddress().getPort());
    member = servingMember(instance, address, slots);
  }

  private static Snapshot snapshot() {
    CallLimits defaults = CallLimits.defaults();
    CallLimits limits =
        new CallLimits(
            CallLimits.MAX_TIMEOUT,
            defaults.maxAttempts(),
            defaults.retryBudget(),
            defaults.idempotentMethods(),
            defaults.idempotenceHeader());
    Route route = Route.of("all", "/", SERVICE).withLimits(limits);
    ServiceState service = new ServiceState(SERVICE, Set.of(VERSION), VERSION);
    return new Snapshot(1, "hash", Map.of("all", route), Map.of(SERVICE, service), Map.of());
  }

  private static MembershipView view(AtomicReference<List<Member>> members) {
    return new MembershipView() {
      @Override
      public Collection<Member> members() {
        return members.get();
      }

      @Override
      public Optional<Member> member(String instance) {
        return members.get().stream()
            .filter(candidate -> candidate.instance().equals(instance))
            .findAny();
      }
    };
  }

  static Member servingMember(String instance, Address address, int slots) {
    return member(instance, address, slots, Member.Phase.SERVING);
  }

  private static Member member(String instance, Address address, int slots, Member.Phase phase) {
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
        phase,
        Set.of(1),
        1,
        "hash");
  }

  Member member() {
    return member;
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + path.callerAddress().getPort());
  }

  @Override
  public void close() {
    path.close();
  }
}
