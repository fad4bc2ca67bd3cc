package org.cuminlatch.core.config;

import static org.cuminlatch.core.config.RefusalException.refuseUnless;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Acceptance rules for moves, their stops and their outcomes. */
final class MoveRules {

  private MoveRules() {}

  static void checkMove(Move move, Ledger ledger) {
    Optional<MoveState> existing = ledger.move(move.name());
    if (existing.isPresent()) {
      checkChange(existing.get(), move);
      return;
    }
    ServiceState service = requireService(move, ledger);
    requireVersion(service, move.from());
    requireVersion(service, move.to());
    requireRoute(move, ledger);
    checkPlan(move);
    checkConflict(move, ledger);
    checkCurrent(move, service);
    checkCount(ledger);
  }

  /** Only the deadline and the soak of an open move may change. */
  private static void checkChange(MoveState existing, Move changed) {
    Move old = existing.move();
    boolean hasChange =
        !old.deadline().equals(changed.deadline()) || !old.soak().equals(changed.soak());
    refuseUnless(
        existing.isOpen()
            && existing.stop().isEmpty()
            && hasChange
            && old.equals(withDeadlineAndSoakOf(changed, old)),
        RefusalReason.MOVE_EXISTS,
        "move %s already exists; only the deadline and the soak of an open move can change"
            .formatted(changed.name()));
    checkPlan(changed);
  }

  private static Move withDeadlineAndSoakOf(Move move, Move other) {
    return new Move(
        move.name(),
        move.service(),
        move.route(),
        move.from(),
        move.to(),
        move.start(),
        other.deadline(),
        move.steps(),
        other.soak(),
        move.regionByRegion());
  }

  static void checkStop(MoveStop stop, Ledger ledger) {
    MoveState state = requireOpen(stop.name(), ledger);
    refuseUnless(
        state.stop().isEmpty(),
        RefusalReason.MOVE_STOPPED,
        "move " + stop.name() + " has already been stopped");
  }

  static void checkOutcome(MoveOutcome outcome, Ledger ledger) {
    MoveState state = requireOpen(outcome.name(), ledger);
    refuseUnless(
        state.stop().isEmpty() || outcome.result() != MoveOutcome.Result.DONE,
        RefusalReason.MOVE_STOPPED,
        "move " + outcome.name() + " was stopped, so its outcome cannot be DONE");
  }

  private static MoveState requireOpen(String name, Ledger ledger) {
    MoveState state =
        ledger
            .move(name)
            .orElseThrow(
                () -> RefusalException.of(RefusalReason.RESOURCE_MISSING, "no such move: " + name));
    refuseUnless(
        state.isOpen(),
        RefusalReason.MOVE_ENDED,
        "move "
            + name
            + " has already ended: "
            + state.outcome().map(MoveOutcome::result).orElse(null));
    return state;
  }

  private static ServiceState requireService(Move move, Ledger ledger) {
    return ledger
        .service(move.service())
        .orElseThrow(
            () ->
                RefusalException.of(
                    RefusalReason.UNRESOLVED_REFERENCE,
                    "service " + move.service() + " does not exist"));
  }

  private static void requireVersion(ServiceState service, String version) {
    refuseUnless(
        service.versions().contains(version),
        RefusalReason.UNRESOLVED_REFERENCE,
        "service %s has no target version %s".formatted(service.service(), version));
  }

  private static void requireRoute(Move move, Ledger ledger) {
    if (move.route().isEmpty()) {
      return;
    }
    ResourceKey key = ResourceKey.route(move.route().get());
    StoredResource route =
        ledger
            .resource(key)
            .orElseThrow(
                () ->
                    RefusalException.of(
                        RefusalReason.UNRESOLVED_REFERENCE, key + " does not exist"));
    refuseUnless(
        route.references().contains(ResourceKey.service(move.service())),
        RefusalReason.UNRESOLVED_REFERENCE,
        "%s does not refer to service %s".formatted(key, move.service()));
  }

  private static void checkPlan(Move move) {
    refuseUnless(
        !move.from().equals(move.to()),
        RefusalReason.MOVE_IMPOSSIBLE,
        "target versions from and to are both " + move.from());
    double previous = 0;
    for (double share : move.steps()) {
      refuseUnless(
          share > previous,
          RefusalReason.MOVE_IMPOSSIBLE,
          "steps are %s, expected ascending shares above 0".formatted(move.steps()));
      previous = share;
    }
    Duration available = Duration.between(move.start(), move.deadline());
    Duration required = minDuration(move);
    refuseUnless(
        available.compareTo(required) >= 0,
        RefusalReason.MOVE_IMPOSSIBLE,
        "the deadline is %s after the start, but the steps and the soak need at least %s"
            .formatted(available, required));
  }

  private static Duration minDuration(Move move) {
    int steps = Math.max(1, move.steps().size());
    return FoldLimits.MIN_STEP_DURATION.multipliedBy(steps).plus(move.soak());
  }

  private static void checkConflict(Move move, Ledger ledger) {
    ledger
        .openMoves(move.service())
        .filter(other -> overlaps(move, other))
        .findFirst()
        .ifPresent(
            other -> {
              throw RefusalException.of(
                  RefusalReason.MOVE_CONFLICT,
                  "move %s of service %s is still open".formatted(other.name(), other.service()));
            });
  }

  private static boolean overlaps(Move move, Move other) {
    return move.route().isEmpty() || other.route().isEmpty() || move.route().equals(other.route());
  }

  private static void checkCurrent(Move move, ServiceState service) {
    String current = move.route().map(service::currentFor).orElse(service.current());
    refuseUnless(
        current.equals(move.from()),
        RefusalReason.MOVE_FROM_NOT_CURRENT,
        "traffic is on target version %s, not on %s".formatted(current, move.from()));
    boolean otherRoutesOnNewVersion =
        move.route().isPresent()
            || Set.of(move.to()).containsAll(service.currentByRoute().values());
    refuseUnless(
        otherRoutesOnNewVersion,
        RefusalReason.MOVE_FROM_NOT_CURRENT,
        "some routes are on other target versions: " + new TreeMap<>(service.currentByRoute()));
  }

  private static void checkCount(Ledger ledger) {
    refuseUnless(
        ledger.openMoves().size() < FoldLimits.MAX_OPEN_MOVES,
        RefusalReason.LIMIT_EXCEEDED,
        "the configuration already holds " + FoldLimits.MAX_OPEN_MOVES + " open moves");
  }
}
