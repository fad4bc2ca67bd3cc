package org.cuminlatch.core.config;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Applies records that the rules have accepted to the ledger. */
final class RecordApplier {

  private final Ledger ledger;

  RecordApplier(Ledger ledger) {
    this.ledger = ledger;
  }

  /**
   * Applies a record.
   *
   * @param envelope the record
   * @param resource the decoded base body, if the record has one
   * @param version offset of the record plus one
   */
  void apply(RecordEnvelope envelope, Optional<Resource> resource, long version) {
    if (resource.isPresent() && resource.get() instanceof RouteRemoval removal) {
      removeRoute(removal.name());
      return;
    }
    if (envelope.bodies().isEmpty()) {
      ledger.remove(envelope.key());
      return;
    }
    ledger.put(StoredResource.of(envelope, version, ledger.resource(envelope.key())));
    if (envelope.kind().equals(RecordKinds.ROUTE)) {
      removeStaleAssignments(envelope);
    }
    resource.ifPresent(value -> applyResource(value, version));
  }

  private void applyResource(Resource resource, long version) {
    if (resource instanceof TargetVersion target) {
      addTargetVersion(target);
    } else if (resource instanceof Move move) {
      long acceptedAt = ledger.move(move.name()).map(MoveState::acceptedAt).orElse(version);
      ledger.putMove(new MoveState(move, acceptedAt, Optional.empty(), Optional.empty()));
    } else if (resource instanceof MoveStop stop) {
      MoveState state = ledger.move(stop.name()).orElseThrow();
      ledger.putMove(
          new MoveState(state.move(), state.acceptedAt(), Optional.of(stop), state.outcome()));
    } else if (resource instanceof MoveOutcome outcome) {
      endMove(outcome);
    }
  }

  private void removeRoute(String name) {
    ledger.remove(ResourceKey.route(name));
    List.copyOf(ledger.services().values()).forEach(service -> removeAssignment(service, name));
  }

  private void removeStaleAssignments(RecordEnvelope route) {
    for (ServiceState service : List.copyOf(ledger.services().values())) {
      if (!route.references().contains(ResourceKey.service(service.service()))) {
        removeAssignment(service, route.resource());
      }
    }
  }

  private void removeAssignment(ServiceState service, String route) {
    if (service.currentByRoute().containsKey(route)) {
      Map<String, String> routes = new HashMap<>(service.currentByRoute());
      routes.remove(route);
      ledger.putService(
          new ServiceState(service.service(), service.versions(), service.current(), routes));
    }
  }

  private void addTargetVersion(TargetVersion target) {
    Optional<ServiceState> existing = ledger.service(target.service());
    Set<String> versions = new HashSet<>(existing.map(ServiceState::versions).orElse(Set.of()));
    versions.add(target.version());
    String current = existing.map(ServiceState::current).orElse(target.version());
    Map<String, String> routes = existing.map(ServiceState::currentByRoute).orElse(Map.of());
    if (versions.size() > FoldLimits.MAX_TARGET_VERSIONS) {
      removeOldestUnused(existing.orElseThrow(), target, versions);
    }
    ledger.putService(new ServiceState(target.service(), versions, current, routes));
  }

  private void removeOldestUnused(ServiceState service, TargetVersion added, Set<String> versions) {
    Set<String> used = new HashSet<>(service.currentByRoute().values());
    used.add(service.current());
    used.add(added.version());
    ledger
        .openMoves(service.service())
        .forEach(
            move -> {
              used.add(move.from());
              used.add(move.to());
            });
    versions.stream()
        .filter(version -> !used.contains(version))
        .min(Comparator.comparingLong(version -> versionOf(service, version)))
        .ifPresent(
            oldest -> {
              versions.remove(oldest);
              ledger.remove(key(service, oldest));
            });
  }

  private long versionOf(ServiceState service, String version) {
    return ledger.resource(key(service, version)).map(StoredResource::version).orElse(0L);
  }

  private static ResourceKey key(ServiceState service, String version) {
    String name = new TargetVersion(service.service(), version).name();
    return new ResourceKey(RecordKinds.TARGET_VERSION, name);
  }

  private void endMove(MoveOutcome outcome) {
    MoveState state = ledger.move(outcome.name()).orElseThrow();
    ledger.putMove(
        new MoveState(state.move(), state.acceptedAt(), state.stop(), Optional.of(outcome)));
    if (outcome.result() == MoveOutcome.Result.DONE) {
      shiftTraffic(state.move());
    }
    removeOldestEndedMove();
  }

  private void shiftTraffic(Move move) {
    ServiceState service = ledger.service(move.service()).orElseThrow();
    if (move.route().isEmpty()) {
      ledger.putService(new ServiceState(move.service(), service.versions(), move.to()));
      return;
    }
    Map<String, String> routes = new HashMap<>(service.currentByRoute());
    routes.put(move.route().get(), move.to());
    routes.values().removeIf(service.current()::equals);
    ledger.putService(
        new ServiceState(move.service(), service.versions(), service.current(), routes));
  }

  private void removeOldestEndedMove() {
    if (ledger.endedMoves().size() > FoldLimits.MAX_ENDED_MOVES) {
      ledger.removeEndedMove(ledger.endedMoves().iterator().next());
    }
  }
}
