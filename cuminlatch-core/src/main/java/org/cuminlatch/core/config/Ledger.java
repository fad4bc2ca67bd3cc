package org.cuminlatch.core.config;

import java.util.ArrayList;
import java.util.Collection;
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
 * Mutable state of the fold; the same on every node, whatever schema versions the node can read.
 *
 * <p>The rules query it and the applier changes it; it does not check any rule itself.
 */
final class Ledger {

  private final TreeMap<ResourceKey, StoredResource> resources = new TreeMap<>();
  private final TreeMap<ResourceKey, byte[]> digests = new TreeMap<>();
  private final Map<String, Integer> countByKind = new HashMap<>();
  private final TreeMap<String, ServiceState> services = new TreeMap<>();
  private final Map<String, MoveState> moves = new HashMap<>();
  private final TreeMap<String, Move> openMoves = new TreeMap<>();
  private final TreeMap<Long, String> endedMoves = new TreeMap<>();
  private final LinkedHashSet<String> recordIds = new LinkedHashSet<>();
  private final CheckpointCodec codec;

  Ledger(CheckpointCodec codec) {
    this.codec = codec;
  }

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

  /** Returns the open moves in the order of their names. */
  Collection<Move> openMoves() {
    return openMoves.values();
  }

  Stream<Move> openMoves(String service) {
    return openMoves.values().stream().filter(move -> move.service().equals(service));
  }

  /** Returns the names of the ended moves in the order in which they ended. */
  Collection<String> endedMoves() {
    return endedMoves.values();
  }

  boolean exists(ResourceKey key) {
    return key.kind().equals(ResourceKey.SERVICE)
        ? services.containsKey(key.name())
        : resources.containsKey(key);
  }

  /** Returns whether a resource refers to a key; ignores moves because they end by themselves. */
  boolean isReferenced(ResourceKey key) {
    return resources.values().stream()
        .filter(resource -> !resource.key().kind().equals(RecordKinds.MOVE))
        .anyMatch(resource -> resource.refersTo(key));
  }

  int count(String kind) {
    return countByKind.getOrDefault(kind, 0);
  }

  int countExtensions() {
    return countByKind.entrySet().stream()
        .filter(entry -> RecordKinds.isExtension(entry.getKey()))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  boolean hasRecordId(String recordId) {
    return recordIds.contains(recordId);
  }

  void addRecordId(String recordId) {
    recordIds.add(recordId);
    if (recordIds.size() > FoldLimits.MAX_RECORD_IDS) {
      recordIds.remove(recordIds.iterator().next());
    }
  }

  void put(StoredResource resource) {
    if (resources.put(resource.key(), resource) == null) {
      countByKind.merge(resource.key().kind(), 1, Integer::sum);
    }
    digests.put(resource.key(), StateHash.digest(codec.encodeResource(resource).toArray()));
  }

  void remove(ResourceKey key) {
    if (resources.remove(key) != null) {
      countByKind.computeIfPresent(key.kind(), (kind, count) -> count > 1 ? count - 1 : null);
    }
    digests.remove(key);
  }

  void putService(ServiceState service) {
    services.put(service.service(), service);
  }

  void putMove(MoveState state) {
    String name = state.move().name();
    moves.put(name, state);
    if (state.isOpen()) {
      openMoves.put(name, state.move());
    } else {
      openMoves.remove(name);
      endedMoves.put(endVersion(name), name);
    }
  }

  void removeEndedMove(String name) {
    endedMoves.remove(endVersion(name));
    moves.remove(name);
    remove(ResourceKey.move(name));
    remove(new ResourceKey(RecordKinds.MOVE_STOP, name));
    remove(new ResourceKey(RecordKinds.MOVE_OUTCOME, name));
  }

  /** Returns the hash over the complete state at a version, using the digests of its resources. */
  String hash(long version) {
    StateHash hash = new StateHash();
    hash.add(version);
    digests.values().forEach(hash::add);
    services.values().forEach(service -> addTo(hash, assignment(service)));
    recordIds.forEach(hash::add);
    return hash.toHex();
  }

  LedgerState state(long version) {
    return new LedgerState(
        version,
        List.copyOf(resources.values()),
        services.values().stream().map(Ledger::assignment).toList(),
        List.copyOf(recordIds));
  }

  /**
   * Rebuilds a ledger from the state of a checkpoint.
   *
   * @param state the state of a checkpoint
   * @param bodies decoder of the base bodies
   * @param codec encodes the resources for their digests
   * @return the ledger
   * @throws RuntimeException if the state is inconsistent
   */
  static Ledger of(LedgerState state, BodyDecoder bodies, CheckpointCodec codec) {
    Ledger ledger = new Ledger(codec);
    state.resources().forEach(ledger::put);
    ledger.recordIds.addAll(state.recordIds());
    ledger.restoreServices(state.services(), bodies);
    ledger.restoreMoves(bodies);
    return ledger;
  }

  private void restoreServices(List<ServiceAssignment> assignments, BodyDecoder bodies) {
    Map<String, Set<String>> versions = new HashMap<>();
    for (StoredResource resource : ofKind(RecordKinds.TARGET_VERSION)) {
      TargetVersion target = (TargetVersion) decodeBaseBody(resource, bodies);
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
              .map(stored -> (MoveStop) decodeBaseBody(stored, bodies));
      Optional<MoveOutcome> outcome =
          resource(new ResourceKey(RecordKinds.MOVE_OUTCOME, name))
              .map(stored -> (MoveOutcome) decodeBaseBody(stored, bodies));
      Move move = (Move) decodeBaseBody(resource, bodies);
      putMove(new MoveState(move, resource.version(), stop, outcome));
    }
  }

  private long endVersion(String move) {
    return resources.get(new ResourceKey(RecordKinds.MOVE_OUTCOME, move)).version();
  }

  private List<StoredResource> ofKind(String kind) {
    return resources.values().stream()
        .filter(resource -> resource.key().kind().equals(kind))
        .toList();
  }

  private static Resource decodeBaseBody(StoredResource resource, BodyDecoder bodies) {
    return bodies.decode(resource.key().kind(), resource.baseBody().orElseThrow());
  }

  private static void addTo(StateHash hash, ServiceAssignment service) {
    hash.add(service.service());
    hash.add(service.current());
    hash.add(service.routes().size());
    for (RouteAssignment route : service.routes()) {
      hash.add(route.route());
      hash.add(route.current());
    }
  }

  private static ServiceAssignment assignment(ServiceState service) {
    List<RouteAssignment> routes = new ArrayList<>();
    for (String route : new TreeSet<>(service.currentByRoute().keySet())) {
      routes.add(new RouteAssignment(route, service.currentByRoute().get(route)));
    }
    return new ServiceAssignment(service.service(), service.current(), routes);
  }
}
