package org.cuminlatch.bench.move;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.config.MoveState;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.ServiceState;
import org.cuminlatch.core.config.Snapshot;

/** The platform's log and the state folded from it, reduced to one service and one move. */
final class SimulatedLog {

  private final Map<String, Route> routes;
  private final String service;
  private Snapshot snapshot;
  private int contradictions;

  SimulatedLog(ServiceProfile profile, Move move) {
    this.service = profile.service();
    this.routes =
        profile.routes().stream()
            .map(
                routeShare ->
                    Route.of(routeShare.route(), "/" + routeShare.route(), profile.service()))
            .collect(Collectors.toMap(Route::name, route -> route));
    this.snapshot = snapshotOf(1, new MoveState(move, 0, Optional.empty(), Optional.empty()));
  }

  Snapshot snapshot() {
    return snapshot;
  }

  Route route(String name) {
    return routes.get(name);
  }

  MoveState move() {
    return snapshot.moves().values().iterator().next();
  }

  Optional<MoveOutcome> outcome() {
    return move().outcome();
  }

  /** Returns how many later outcomes differ from the first one. */
  int contradictions() {
    return contradictions;
  }

  /**
   * Folds an outcome: the first one stands, and {@code DONE} is ignored after an operator's stop.
   */
  void append(MoveOutcome outcome) {
    MoveState state = move();
    if (state.outcome().isPresent()) {
      contradictions += state.outcome().get().result() == outcome.result() ? 0 : 1;
      return;
    }
    if (state.stop().isPresent() && outcome.result() == MoveOutcome.Result.DONE) {
      return;
    }
    updateState(new MoveState(state.move(), 0, state.stop(), Optional.of(outcome)));
  }

  void append(MoveStop stop) {
    MoveState state = move();
    if (state.isOpen()) {
      updateState(new MoveState(state.move(), 0, Optional.of(stop), Optional.empty()));
    }
  }

  void append(Move changedMove) {
    MoveState state = move();
    if (state.isOpen()) {
      updateState(new MoveState(changedMove, 0, state.stop(), Optional.empty()));
    }
  }

  private void updateState(MoveState state) {
    snapshot = snapshotOf(snapshot.version() + 1, state);
  }

  private Snapshot snapshotOf(long version, MoveState state) {
    Move move = state.move();
    boolean done =
        state.outcome().map(MoveOutcome::result).equals(Optional.of(MoveOutcome.Result.DONE));
    ServiceState current =
        new ServiceState(
            service, Set.of(move.from(), move.to()), done ? move.to() : move.from(), Map.of());
    return new Snapshot(version, "", routes, Map.of(service, current), Map.of(move.name(), state));
  }
}
