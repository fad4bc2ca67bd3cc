package org.cuminlatch.core.move;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Rollbacks that this node holds. Above a maximum number, the oldest one whose move is no longer
 * open is removed.
 */
final class KnownRollbacks {

  private static final int MAX_ROLLBACKS = 256;

  private final Map<MoveId, Rollback> rollbacks = new LinkedHashMap<>();

  /** Adds a rollback and returns whether its move was not known to be rolled back. */
  boolean add(Rollback rollback, Set<MoveId> openMoves) {
    boolean added = rollbacks.putIfAbsent(rollback.move(), rollback) == null;
    if (rollbacks.size() > MAX_ROLLBACKS) {
      rollbacks.keySet().stream()
          .filter(move -> !openMoves.contains(move))
          .findFirst()
          .ifPresent(rollbacks::remove);
    }
    return added;
  }

  Optional<Rollback> of(MoveId move) {
    return Optional.ofNullable(rollbacks.get(move));
  }

  List<Rollback> of(Collection<MoveId> moves) {
    return moves.stream().filter(rollbacks::containsKey).map(rollbacks::get).toList();
  }

  boolean contains(MoveId move) {
    return rollbacks.containsKey(move);
  }
}
