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

/** Router with the tables that are built anew only when the configuration or the members change. */
final class RoutingState {

  private final CallPathInputs inputs;
  private final TargetLoads loads = new TargetLoads();
  private final LinkBudget link;
  private final Router router;
  private final RandomGenerator random;
  private volatile RouteTable table;
  private volatile IndexedMembers indexed;

  RoutingState(CallPathInputs inputs, long linkBytesPerSecond) {
    this.inputs = inputs;
    this.link = new LinkBudget(linkBytesPerSecond, inputs.clock().instant());
    this.router = new Router(inputs.shares(), loads, link);
    this.random = inputs.random();
    this.table = RouteTable.of(inputs.snapshot().get());
    this.indexed = new IndexedMembers(inputs.members().members());
  }

  TargetLoads loads() {
    return loads;
  }

  LinkBudget link() {
    return link;
  }

  /** Returns the routes of the configuration in force. */
  RouteTable table() {
    RouteTable present = table;
    var snapshot = inputs.snapshot().get();
    if (present.snapshot() != snapshot) {
      present = RouteTable.of(snapshot);
      table = present;
    }
    return present;
  }

  RoutingDecision decide(RouteTable routes, RequestHead request, Set<String> avoided) {
    Instant now = inputs.clock().instant();
    Router.Context context =
        new Router.Context(members(), inputs.self().get().locality(), avoided, now);
    return router.decide(routes, request, context, random);
  }

  private ServiceIndex members() {
    IndexedMembers present = indexed;
    Collection<Member> members = inputs.members().members();
    if (present.source != members) {
      present = new IndexedMembers(members);
      indexed = present;
      loads.retain(members);
    }
    return present.index;
  }

  /** Members with the index that was built from them. */
  private static final class IndexedMembers {

    private final Collection<Member> source;
    private final ServiceIndex index;

    IndexedMembers(Collection<Member> source) {
      this.source = source;
      this.index = ServiceIndex.of(source);
    }
  }
}
