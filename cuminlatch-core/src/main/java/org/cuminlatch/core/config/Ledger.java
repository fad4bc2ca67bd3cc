package org.cuminlatch.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.cuminlatch.core.config.ServiceAssignment.RouteAssignment;

/**
 * Mutable state of the fold: what every node holds alike, whatever schema versions it reads.
 *
 * <p>It offers lookups to the rules and changes to the applier; it decides nothing itself.
 */
final class Ledger {

  private final TreeMap<ResourceKey, StoredResource> resources = new TreeMap<>();
  private final TreeMap<String, ServiceState> services = new TreeMap<>();
  private final Map<String, MoveState> moves = new HashMap<>();
  private final LinkedHashSet<String> recordIds = new LinkedHashSet<>();

  Optional<StoredResource> resource(ResourceKey key) {
    return Optional.ofNullable(resources.get(key));
  }

  Map<ResourceKey, StoredResource> resources() {
    return resources;
  }

  Optional<ServiceState> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  Map<String, ServiceState> services() {
    return services;
  }

  Optional<MoveState> move(String name) {
    return Optional.ofNullable(moves.get(name));
  }

  Map<String, MoveState> moves() {
    return moves;
  }

  Stream<Move> openMoves(String service) {
    return moves.values().stream()
        .filter(MoveState::isOpen)
        .map(MoveState::move)
        .filter(move -> move.service().equals(service));
  }

  boolean exists(ResourceKey key) {
    return key.kind().equals(ResourceKey.SERVICE)
        ? services.containsKey(key.name())
        : resources.containsKey(key);
  }

  /** Returns whether a resource refers to a key; moves do not count, they end by themselves. */
  boolean isReferenced(ResourceKey key) {
    return resources.values().stream()
        .filter(resource -> !resource.key().kind().equals(RecordKinds.MOVE))
        .anyMatch(resource -> resource.refersTo(key));
  }

  long count(String kind) {
    ResourceKey first = new ResourceKey(kind, "\u0001");
    return resources.tailMap(first).keySet().stream()
        .takeWhile(key -> key.kind().equals(kind))
        .count();
  }

  long countExtensions() {
    return resources.keySet().stream().filter(key -> RecordKinds.isExtension(key.kind())).count();
  }

  boolean remembers(String recordId) {
    return recordIds.contains(recordId);
  }

  void remember(String recordId) {
    recordIds.add(recordId);
    if (recordIds.size() > FoldLimits.MAX_RECORD_IDS) {
      recordIds.remove(recordIds.iterator().next());
    }
  }

  void put(StoredResource resource) {
    resources.put(resource.key(), resource);
  }

  void remove(ResourceKey key) {
    resources.remove(key);
  }

  void putService(ServiceState service) {
    services.put(service.service(), service);
  }

  void putMove(MoveState move) {
    moves.put(move.move().name(), move);
  }

  void removeMove(String name) {
    moves.remove(name);
    resources.remove(ResourceKey.move(name));
    resources.remove(new ResourceKey(RecordKinds.MOVE_STOP, name));
    resources.remove(new ResourceKey(RecordKinds.MOVE_OUTCOME, name));
  }

  LedgerState state(long version) {
    return new LedgerState(
        version,
        List.copyOf(resources.values()),
        services.values().stream().map(Ledger::assignment).toList(),
        List.copyOf(recordIds));
  }

  /**
   * Rebuilds a ledger.
   *
   * @param state the state of a checkpoint
   * @param bodies decoder of the base bodies
   * @return the ledger
   * @throws RuntimeException if the state contradicts itself
   */
  static Ledger of(LedgerState state, BodyDecoder bodies) {
    Ledger ledger = new Ledger();
    state.resources().forEach(ledger::put);
    ledger.recordIds.addAll(state.recordIds());
    ledger.restoreServices(state.services(), bodies);
    ledger.restoreMoves(bodies);
    return ledger;
  }

  private void restoreServices(List<ServiceAssignment> assignments, BodyDecoder bodies) {
    Map<String, Set<String>> versions = new HashMap<>();
    for (StoredResource resource : ofKind(RecordKinds.TARGET_VERSION)) {
      TargetVersion target = (TargetVersion) decodeBase(resource, bodies);
      versions.computeIfAbsent(target.service(), name -> new HashSet<>()).add(target.version());
    }
    for (ServiceAssignment assignment : assignments) {
      Map<String, String> routes = new HashMap<>();
      assignment.routes().forEach(route -> routes.put(route.route(), route.current()));
      Set<String> known = versions.getOrDefault(assignment.service(), Set.of());
      putService(new ServiceState(assignment.service(), known, assignment.current(), routes));
    }
  }

  private void restoreMoves(BodyDecoder bodies) {
    for (StoredResource resource : ofKind(RecordKinds.MOVE)) {
      String name = resource.key().name();
      Optional<MoveStop> stop =
          resource(new ResourceKey(RecordKinds.MOVE_STOP, name))
              .map(stored -> (MoveStop) decodeBase(stored, bodies));
      Optional<MoveOutcome> outcome =
          resource(new ResourceKey(RecordKinds.MOVE_OUTCOME, name))
              .map(stored -> (MoveOutcome) decodeBase(stored, bodies));
      Move move = (Move) decodeBase(resource, bodies);
      putMove(new MoveState(move, resource.version(), stop, outcome));
    }
  }

  private List<StoredResource> ofKind(String kind) {
    return resources.values().stream()
        .filter(resource -> resource.key().kind().equals(kind))
        .toList();
  }

  private static Resource decodeBase(StoredResource resource, BodyDecoder bodies) {
    return bodies.decode(resource.key().kind(), resource.baseBody().orElseThrow());
  }

  private static ServiceAssignment assignment(ServiceState service) {
    List<RouteAssignment> routes = new ArrayList<>();
    for (String route : new TreeSet<>(service.currentByRoute().keySet())) {
      routes.add(new RouteAssignment(route, service.currentByRoute().get(route)));
    }
    return new ServiceAssignment(service.service(), service.current(), routes);
  }
}
