package org.cuminlatch.core.config;

import static org.cuminlatch.core.config.RefusalException.refuseUnless;

import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.error.CuminlatchException;

/**
 * Acceptance rules for records. They depend on the envelope, the base body and the ledger alone, so
 * that every node reaches the same verdict.
 */
final class RecordRules {

  private static final Set<String> KINDS =
      Set.of(
          RecordKinds.ROUTE,
          RecordKinds.ROUTE_REMOVAL,
          RecordKinds.TARGET_VERSION,
          RecordKinds.MOVE,
          RecordKinds.MOVE_STOP,
          RecordKinds.MOVE_OUTCOME);

  private final BodyDecoder bodies;

  RecordRules(BodyDecoder bodies) {
    this.bodies = bodies;
  }

  /**
   * Checks a record against the ledger.
   *
   * @param envelope the record
   * @param ledger the state before the record
   * @return the decoded base body, empty if the record has none
   * @throws RefusalException if the record is refused
   */
  Optional<Resource> check(RecordEnvelope envelope, Ledger ledger) {
    checkKind(envelope);
    checkBodySizes(envelope);
    Optional<Resource> resource = decodeBaseBody(envelope);
    checkExpectedVersion(envelope, ledger);
    checkReferences(envelope, ledger);
    if (resource.isPresent()) {
      checkResource(resource.get(), envelope, ledger);
    } else {
      checkWithoutBaseBody(envelope, ledger);
    }
    return resource;
  }

  private void checkKind(RecordEnvelope envelope) {
    String kind = envelope.kind();
    refuseUnless(
        KINDS.contains(kind) || RecordKinds.isExtension(kind),
        RefusalReason.UNKNOWN_KIND,
        "kind is \"" + kind + "\", expected one of " + KINDS.stream().sorted().toList());
  }

  private void checkBodySizes(RecordEnvelope envelope) {
    for (SchemaBody body : envelope.bodies()) {
      refuseUnless(
          body.content().length() <= RecordEnvelope.MAX_BODY_BYTES,
          RefusalReason.TOO_LARGE,
          "body in schema version %d has %d bytes, expected at most %d"
              .formatted(
                  body.schemaVersion(), body.content().length(), RecordEnvelope.MAX_BODY_BYTES));
    }
  }

  private Optional<Resource> decodeBaseBody(RecordEnvelope envelope) {
    if (RecordKinds.isExtension(envelope.kind())) {
      return Optional.empty();
    }
    Optional<SchemaBody> base = envelope.body(RecordEnvelope.BASE_SCHEMA_VERSION);
    boolean isBaseOptional =
        envelope.kind().equals(RecordKinds.ROUTE) && !envelope.bodies().isEmpty();
    refuseUnless(
        base.isPresent() || isBaseOptional,
        RefusalReason.SCHEMA_MISSING,
        "kind " + envelope.kind() + " has no body in schema version 1");
    return base.map(body -> decode(envelope, body));
  }

  private Resource decode(RecordEnvelope envelope, SchemaBody body) {
    Resource resource;
    try {
      resource = bodies.decode(envelope.kind(), body);
    } catch (CuminlatchException e) {
      throw RefusalException.of(RefusalReason.MALFORMED, e.getMessage());
    }
    refuseUnless(
        resource.name().equals(envelope.resource()),
        RefusalReason.MALFORMED,
        "body names resource \"%s\", but the envelope names \"%s\""
            .formatted(resource.name(), envelope.resource()));
    return resource;
  }

  private void checkExpectedVersion(RecordEnvelope envelope, Ledger ledger) {
    if (envelope.expectedVersion().isEmpty()) {
      return;
    }
    long expected = envelope.expectedVersion().getAsLong();
    ResourceKey key = versionedKey(envelope);
    long found = ledger.resource(key).map(StoredResource::version).orElse(0L);
    refuseUnless(
        expected == found,
        RefusalReason.EXPECTED_VERSION_MISMATCH,
        "%s is at version %d, expected %d".formatted(key, found, expected));
  }

  private static ResourceKey versionedKey(RecordEnvelope envelope) {
    return switch (envelope.kind()) {
      case RecordKinds.ROUTE_REMOVAL -> ResourceKey.route(envelope.resource());
      case RecordKinds.MOVE_STOP, RecordKinds.MOVE_OUTCOME -> ResourceKey.move(envelope.resource());
      default -> envelope.key();
    };
  }

  private void checkReferences(RecordEnvelope envelope, Ledger ledger) {
    for (ResourceKey reference : envelope.references()) {
      refuseUnless(
          ledger.exists(reference),
          RefusalReason.UNRESOLVED_REFERENCE,
          "%s refers to %s, which does not exist".formatted(envelope.key(), reference));
    }
  }

  private void checkResource(Resource resource, RecordEnvelope envelope, Ledger ledger) {
    if (resource instanceof Route route) {
      RouteRules.checkBody(route, envelope);
      RouteRules.checkEnvelope(envelope, ledger);
    } else if (resource instanceof RouteRemoval removal) {
      RouteRules.checkRemoval(removal, ledger);
    } else if (resource instanceof TargetVersion version) {
      checkTargetVersion(version, ledger);
    } else if (resource instanceof Move move) {
      MoveRules.checkMove(move, ledger);
    } else if (resource instanceof MoveStop stop) {
      MoveRules.checkStop(stop, ledger);
    } else if (resource instanceof MoveOutcome outcome) {
      MoveRules.checkOutcome(outcome, ledger);
    }
  }

  private void checkWithoutBaseBody(RecordEnvelope envelope, Ledger ledger) {
    if (envelope.kind().equals(RecordKinds.ROUTE)) {
      RouteRules.checkEnvelope(envelope, ledger);
    } else if (envelope.bodies().isEmpty()) {
      RouteRules.checkRemovable(envelope.key(), ledger);
    } else {
      refuseUnless(
          ledger.exists(envelope.key()) || ledger.countExtensions() < FoldLimits.MAX_EXTENSIONS,
          RefusalReason.LIMIT_EXCEEDED,
          "the configuration already holds " + FoldLimits.MAX_EXTENSIONS + " extension resources");
    }
  }

  private void checkTargetVersion(TargetVersion version, Ledger ledger) {
    refuseUnless(
        version.service().indexOf('@') < 0,
        RefusalReason.MALFORMED,
        "service is \"" + version.service() + "\", expected a name without @");
    refuseUnless(
        ledger.service(version.service()).isPresent()
            || ledger.services().size() < FoldLimits.MAX_SERVICES,
        RefusalReason.LIMIT_EXCEEDED,
        "the configuration already holds " + FoldLimits.MAX_SERVICES + " services");
  }
}
