package org.cuminlatch.node.call;

import java.time.Instant;
import java.util.Collection;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.route.LinkBudget;
import org.cuminlatch.core.route.RequestHead;
import org.cuminlatch.core.route.RouteTable;
import org.cuminlatch.core.route.Router;
import org.cuminlatch.core.route.RoutingDecision;
import org.cuminlatch.core.route.ServiceIndex;
import org.cuminlatch.core.route.TargetLoads;

/** Routes requests; rebuilds its tables only when the configuration or the members change. */
final class RoutingState {

  private final CallPathDependencies dependencies;
  private final TargetLoads loads = new TargetLoads();
  private final LinkBudget link;
  private final Router router;
  private final RandomGenerator random;
  private volatile RouteTable table;
  private volatile IndexedMembers indexed;

  RoutingState(CallPathDependencies dependencies, long linkBytesPerSecond) {
    this.dependencies = dependencies;
    this.link = new LinkBudget(linkBytesPerSecond, dependencies.clock().instant());
    this.router = new Router(dependencies.shares(), loads, link);
    this.random = dependencies.random();
    this.table = RouteTable.of(dependencies.snapshot().get());
    this.indexed = new IndexedMembers(dependencies.members().members());
  }

  TargetLoads loads() {
    return loads;
  }

  LinkBudget link() {
    return link;
  }

  /** Returns the routes of the configuration in force. */
  RouteTable table() {
    RouteTable current = table;
    var snapshot = dependencies.snapshot().get();
    if (current.snapshot() != snapshot) {
      current = RouteTable.of(snapshot);
      table = current;
    }
    return current;
  }

  RoutingDecision decide(RouteTable routes, RequestHead request, Set<String> triedInstances) {
    Instant now = dependencies.clock().instant();
    Router.Context context =
        new Router.Context(members(), dependencies.self().get().locality(), triedInstances, now);
    return router.decide(routes, request, context, random);
  }

  private ServiceIndex members() {
    IndexedMembers current = indexed;
    Collection<Member> members = dependencies.members().members();
    if (current.source != members) {
      current = new IndexedMembers(members);
      indexed = current;
      loads.retain(members);
    }
    return current.index;
  }

  /** Index of members with the collection that it was built from. */
  private static final class IndexedMembers {

    private final Collection<Member> source;
    private final ServiceIndex index;

    IndexedMembers(Collection<Member> source) {
      this.source = source;
      this.index = ServiceIndex.of(source);
    }
  }
}
