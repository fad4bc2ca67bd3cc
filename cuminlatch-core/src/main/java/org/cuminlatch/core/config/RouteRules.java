package org.cuminlatch.core.config;

import static org.cuminlatch.core.config.RefusalException.refuseUnless;

import java.util.List;

/** Acceptance rules for routes and for the removal of resources. */
final class RouteRules {

  private RouteRules() {}

  static void checkBody(Route route, RecordEnvelope envelope) {
    refuseUnless(
        envelope.references().contains(ResourceKey.service(route.service())),
        RefusalReason.MALFORMED,
        "body names service \"%s\", which is not among the references of the envelope"
            .formatted(route.service()));
  }

  static void checkEnvelope(RecordEnvelope envelope, Ledger ledger) {
    List<ResourceKey> services =
        envelope.references().stream()
            .filter(reference -> reference.kind().equals(ResourceKey.SERVICE))
            .toList();
    refuseUnless(
        !services.isEmpty(), RefusalReason.MALFORMED, envelope.key() + " refers to no service");
    refuseUnless(
        ledger.exists(envelope.key()) || ledger.count(RecordKinds.ROUTE) < FoldLimits.MAX_ROUTES,
        RefusalReason.LIMIT_EXCEEDED,
        "the configuration already holds " + FoldLimits.MAX_ROUTES + " routes");
    openMovesOf(envelope.resource(), ledger)
        .forEach(move -> requireService(envelope, services, move));
  }

  static void checkRemoval(RouteRemoval removal, Ledger ledger) {
    openMovesOf(removal.name(), ledger)
        .forEach(
            move -> {
              throw RefusalException.of(
                  RefusalReason.STILL_REFERENCED,
                  "route %s is moved by the open move %s".formatted(removal.name(), move.name()));
            });
    checkRemovable(ResourceKey.route(removal.name()), ledger);
  }

  static void checkRemovable(ResourceKey key, Ledger ledger) {
    refuseUnless(ledger.exists(key), RefusalReason.RESOURCE_MISSING, key + " does not exist");
    refuseUnless(
        !ledger.isReferenced(key),
        RefusalReason.STILL_REFERENCED,
        "another resource refers to " + key);
  }

  private static void requireService(
      RecordEnvelope envelope, List<ResourceKey> services, Move move) {
    refuseUnless(
        services.contains(ResourceKey.service(move.service())),
        RefusalReason.STILL_REFERENCED,
        "%s must refer to service %s while move %s is open"
            .formatted(envelope.key(), move.service(), move.name()));
  }

  private static List<Move> openMovesOf(String route, Ledger ledger) {
    return ledger.openMoves().stream()
        .filter(move -> move.route().filter(route::equals).isPresent())
        .toList();
  }
}
