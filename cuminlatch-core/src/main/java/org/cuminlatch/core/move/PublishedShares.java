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

/** Immutable shares as traffic threads read them, with the answers for one snapshot at hand. */
final class PublishedShares {

  private static final double ALL = 1;

  private final Snapshot snapshot;
  private final Map<MoveId, Double> newShares;
  private final Map<String, List<VersionShare>> byRoute = new HashMap<>();
  private final Map<String, List<Watched>> watchedByService = new HashMap<>();

  PublishedShares(Snapshot snapshot, Map<MoveId, Double> newShares) {
    this.snapshot = snapshot;
    this.newShares = Map.copyOf(newShares);
    for (Route route : snapshot.routes().values()) {
      byRoute.put(route.name(), compute(snapshot, route));
    }
    for (MoveState state : snapshot.moves().values()) {
      if (state.isOpen()) {
        watchedByService.merge(
            state.move().service(),
            List.of(new Watched(MoveId.of(state.move()), state.move())),
            PublishedShares::concat);
      }
    }
  }

  boolean isSame(Snapshot other, Map<MoveId, Double> shares) {
    return snapshot == other && newShares.equals(shares);
  }

  List<VersionShare> sharesOf(Snapshot asked, Route route) {
    if (asked.version() == snapshot.version()) {
      List<VersionShare> known = byRoute.get(route.name());
      if (known != null) {
        return known;
      }
    }
    return compute(asked, route);
  }

  void count(CallOutcome outcome, CallCounters counters) {
    for (Watched watched : watchedByService.getOrDefault(outcome.service(), List.of())) {
      watched.sideOf(outcome).ifPresent(side -> counters.count(watched.id(), side, outcome));
    }
  }

  private List<VersionShare> compute(Snapshot of, Route route) {
    ServiceState service = of.services().get(route.service());
    if (service == null) {
      return List.of();
    }
    String holder = service.currentFor(route.name());
    Optional<Move> open = openMove(of, route).filter(move -> !move.to().equals(holder));
    if (open.isPresent()) {
      return split(open.get());
    }
    return List.of(new VersionShare(holder, ALL));
  }

  private List<VersionShare> split(Move move) {
    double share = newShares.getOrDefault(MoveId.of(move), 0.0);
    if (share <= 0) {
      return List.of(new VersionShare(move.from(), ALL));
    }
    if (share >= ALL) {
      return List.of(new VersionShare(move.to(), ALL));
    }
    return List.of(new VersionShare(move.from(), ALL - share), new VersionShare(move.to(), share));
  }

  private static Optional<Move> openMove(Snapshot of, Route route) {
    return of.moves().values().stream()
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

  private static List<Watched> concat(List<Watched> one, List<Watched> other) {
    return Stream.concat(one.stream(), other.stream()).toList();
  }

  private record Watched(MoveId id, Move move) {

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
