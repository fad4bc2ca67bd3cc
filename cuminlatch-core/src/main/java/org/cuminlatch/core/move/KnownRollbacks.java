package org.cuminlatch.core.move;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Set of rollbacks that only grows; those of moves long gone are forgotten, oldest first. */
final class KnownRollbacks {

  private static final int MOST_FACTS = 256;

  private final Map<MoveId, Rollback> facts = new LinkedHashMap<>();

  /** Adds a fact and returns whether its move was not known to be rolled back. */
  boolean add(Rollback fact, Set<MoveId> open) {
    boolean added = facts.putIfAbsent(fact.move(), fact) == null;
    if (facts.size() > MOST_FACTS) {
      facts.keySet().stream()
          .filter(move -> !open.contains(move))
          .findFirst()
          .ifPresent(facts::remove);
    }
    return added;
  }

  Optional<Rollback> of(MoveId move) {
    return Optional.ofNullable(facts.get(move));
  }

  List<Rollback> of(Collection<MoveId> moves) {
    return moves.stream().filter(facts::containsKey).map(facts::get).toList();
  }

  boolean contains(MoveId move) {
    return facts.containsKey(move);
  }
}
