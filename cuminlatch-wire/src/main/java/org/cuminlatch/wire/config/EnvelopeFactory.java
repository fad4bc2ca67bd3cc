package org.cuminlatch.wire.config;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.core.config.RecordEnvelope;
import org.cuminlatch.core.config.RecordKinds;
import org.cuminlatch.core.config.Resource;
import org.cuminlatch.core.config.ResourceKey;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RouteRemoval;
import org.cuminlatch.core.config.SchemaBody;
import org.cuminlatch.core.config.TargetVersion;

/** Creates the envelopes of resources. */
final class EnvelopeFactory {

  private EnvelopeFactory() {}

  static RecordEnvelope of(String recordId, Resource resource, OptionalLong expectedVersion) {
    return new RecordEnvelope(
        recordId,
        kindOf(resource),
        resource.name(),
        expectedVersion,
        referencesOf(resource),
        bodiesOf(resource));
  }

  private static String kindOf(Resource resource) {
    if (resource instanceof Route) {
      return RecordKinds.ROUTE;
    }
    if (resource instanceof RouteRemoval) {
      return RecordKinds.ROUTE_REMOVAL;
    }
    if (resource instanceof TargetVersion) {
      return RecordKinds.TARGET_VERSION;
    }
    if (resource instanceof Move) {
      return RecordKinds.MOVE;
    }
    if (resource instanceof MoveStop) {
      return RecordKinds.MOVE_STOP;
    }
    if (resource instanceof MoveOutcome) {
      return RecordKinds.MOVE_OUTCOME;
    }
    throw new IllegalArgumentException("resource has an unknown kind");
  }

  private static List<ResourceKey> referencesOf(Resource resource) {
    List<ResourceKey> references = new ArrayList<>();
    if (resource instanceof Route route) {
      references.add(ResourceKey.service(route.service()));
    } else if (resource instanceof Move move) {
      move.route().map(ResourceKey::route).ifPresent(references::add);
      references.add(ResourceKey.service(move.service()));
    }
    return references;
  }

  private static List<SchemaBody> bodiesOf(Resource resource) {
    if (!(resource instanceof Route route)) {
      return List.of(BodyCodec.encode(resource, RecordEnvelope.BASE_SCHEMA_VERSION));
    }
    List<SchemaBody> bodies = new ArrayList<>();
    if (matchesAndRetriesLikeVersion1(route)) {
      bodies.add(BodyCodec.encode(route, RouteCodec.V1));
    }
    if (needsVersion2(route)) {
      bodies.add(BodyCodec.encode(route, RouteCodec.V2));
    }
    return bodies;
  }

  private static boolean matchesAndRetriesLikeVersion1(Route route) {
    CallLimits defaults = CallLimits.defaults();
    return route.headers().isEmpty()
        && route.limits().idempotenceHeader().equals(defaults.idempotenceHeader());
  }

  private static boolean needsVersion2(Route route) {
    return !matchesAndRetriesLikeVersion1(route)
        || route.stickyHeader().isPresent()
        || route.limits().retryBudget() != CallLimits.defaults().retryBudget();
  }
}
