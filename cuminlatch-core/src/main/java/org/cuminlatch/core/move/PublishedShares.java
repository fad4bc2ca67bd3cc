package org.cuminlatch.core.move;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveState;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.ServiceState;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.move.EvidenceRow.Side;
import org.cuminlatch.core.move.VersionShares.VersionShare;

/** Immutable shares of the target versions for traffic threads, precomputed for one snapshot. */
final class PublishedShares {

  private static final double FULL_SHARE = 1;

  private final Snapshot snapshot;
  private final Map<MoveId, Double> newVersionShares;
  private final Map<String, List<VersionShare>> byRoute = new HashMap<>();
  private final Map<String, List<ObservedMove>> observedMovesByService = new HashMap<>();

  PublishedShares(Snapshot snapshot, Map<MoveId, Double> newVersionShares) {
    this.snapshot = snapshot;
    this.newVersionShares = Map.copyOf(newVersionShares);
    for (Route route : snapshot.routes().values()) {
      byRoute.put(route.name(), compute(snapshot, route));
    }
    for (MoveState state : snapshot.moves().values()) {
      if (state.isOpen()) {
        observedMovesByService.merge(
            state.move().service(),
            List.of(new ObservedMove(MoveId.of(state.move()), state.move())),
            PublishedShares::concat);
      }
    }
  }

  boolean isSame(Snapshot otherSnapshot, Map<MoveId, Double> shares) {
    return snapshot == otherSnapshot && newVersionShares.equals(shares);
  }

  List<VersionShare> sharesOf(Snapshot requestedSnapshot, Route route) {
    if (requestedSnapshot.version() == snapshot.version()) {
      List<VersionShare> precomputed = byRoute.get(route.name());
      if (precomputed != null) {
        return precomputed;
      }
    }
    return compute(requestedSnapshot, route);
  }

  void count(CallOutcome outcome, CallCounters counters) {
    for (ObservedMove observedMove :
        observedMovesByService.getOrDefault(outcome.service(), List.of())) {
      observedMove
          .sideOf(outcome)
          .ifPresent(side -> counters.count(observedMove.id(), side, outcome));
    }
  }

  private List<VersionShare> compute(Snapshot configuration, Route route) {
    ServiceState service = configuration.services().get(route.service());
    if (service == null) {
      return List.of();
    }
    String currentVersion = service.currentFor(route.name());
    Optional<Move> openMove =
        openMove(configuration, route).filter(move -> !move.to().equals(currentVersion));
    if (openMove.isPresent()) {
      return split(openMove.get());
    }
    return List.of(new VersionShare(currentVersion, FULL_SHARE));
  }

  private List<VersionShare> split(Move move) {
    double share = newVersionShares.getOrDefault(MoveId.of(move), 0.0);
    if (share <= 0) {
      return List.of(new VersionShare(move.from(), FULL_SHARE));
    }
    if (share >= FULL_SHARE) {
      return List.of(new VersionShare(move.to(), FULL_SHARE));
    }
    return List.of(
        new VersionShare(move.from(), FULL_SHARE - share), new VersionShare(move.to(), share));
  }

  private static Optional<Move> openMove(Snapshot configuration, Route route) {
    return configuration.moves().values().stream()
        .filter(MoveState::isOpen)
        .filter(state -> covers(state.move(), route))
        .min(
            Comparator.comparing((MoveState state) -> state.stop().isPresent())
                .thenComparing(state -> state.move().route().isEmpty())
                .thenComparing(MoveState::acceptedAt, Comparator.reverseOrder()))
        .map(MoveState::move);
  }

  private static boolean covers(Move move, Route route) {
    return move.service().equals(route.service())
        && move.route().map(route.name()::equals).orElse(true);
  }

  private static List<ObservedMove> concat(List<ObservedMove> first, List<ObservedMove> second) {
    return Stream.concat(first.stream(), second.stream()).toList();
  }

  private record ObservedMove(MoveId id, Move move) {

    Optional<Side> sideOf(CallOutcome outcome) {
      if (move.route().isPresent() && !move.route().get().equals(outcome.route())) {
        return Optional.empty();
      }
      if (outcome.version().equals(move.to())) {
        return Optional.of(Side.NEW);
      }
      return outcome.version().equals(move.from()) ? Optional.of(Side.OLD) : Optional.empty();
    }
  }
}
