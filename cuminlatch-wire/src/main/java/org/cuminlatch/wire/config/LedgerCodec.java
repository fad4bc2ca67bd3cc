package org.cuminlatch.wire.config;

import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.CheckpointCodec;
import org.cuminlatch.core.config.LedgerState;
import org.cuminlatch.core.config.ResourceKey;
import org.cuminlatch.core.config.ServiceAssignment;
import org.cuminlatch.core.config.ServiceAssignment.RouteAssignment;
import org.cuminlatch.core.config.StoredBody;
import org.cuminlatch.core.config.StoredResource;
import org.cuminlatch.wire.proto.config.Ledger;
import org.cuminlatch.wire.proto.config.LedgerBody;
import org.cuminlatch.wire.proto.config.LedgerResource;
import org.cuminlatch.wire.proto.config.LedgerRoute;
import org.cuminlatch.wire.proto.config.LedgerService;

/** Encodes and decodes the state of the fold, as it is stored in checkpoints. */
final class LedgerCodec implements CheckpointCodec {

  @Override
  public Bytes encode(LedgerState state) {
    Ledger.Builder builder = Ledger.newBuilder().setVersion(state.version());
    state.resources().forEach(resource -> builder.addResources(message(resource)));
    state.services().forEach(service -> builder.addServices(message(service)));
    builder.addAllRecordIds(state.recordIds());
    return Bytes.copyOf(builder.build().toByteArray());
  }

  @Override
  public Bytes encodeResource(StoredResource resource) {
    return Bytes.copyOf(message(resource).toByteArray());
  }

  @Override
  public LedgerState decode(Bytes content) {
    return StrictParser.translateCheckpointErrors(() -> parse(content));
  }

  private static LedgerState parse(Bytes content) {
    Ledger ledger = StrictParser.parse(Ledger.parser(), content.toArray());
    return new LedgerState(
        ledger.getVersion(),
        ledger.getResourcesList().stream().map(LedgerCodec::resource).toList(),
        ledger.getServicesList().stream().map(LedgerCodec::service).toList(),
        ledger.getRecordIdsList());
  }

  private static LedgerResource message(StoredResource resource) {
    LedgerResource.Builder builder =
        LedgerResource.newBuilder()
            .setKind(resource.key().kind())
            .setName(resource.key().name())
            .setVersion(resource.version());
    resource.bodies().forEach(body -> builder.addBodies(message(body)));
    return builder.build();
  }

  private static LedgerBody message(StoredBody body) {
    LedgerBody.Builder builder =
        LedgerBody.newBuilder()
            .setVersion(body.version())
            .setBody(EnvelopeCodec.bodyMessage(body.body()));
    body.references().forEach(key -> builder.addReferences(EnvelopeCodec.referenceMessage(key)));
    return builder.build();
  }

  private static LedgerService message(ServiceAssignment service) {
    LedgerService.Builder builder =
        LedgerService.newBuilder().setService(service.service()).setCurrent(service.current());
    service.routes().forEach(route -> builder.addRoutes(message(route)));
    return builder.build();
  }

  private static LedgerRoute message(RouteAssignment route) {
    return LedgerRoute.newBuilder().setRoute(route.route()).setCurrent(route.current()).build();
  }

  private static StoredResource resource(LedgerResource message) {
    return new StoredResource(
        new ResourceKey(message.getKind(), message.getName()),
        message.getVersion(),
        message.getBodiesList().stream().map(LedgerCodec::body).toList());
  }

  private static StoredBody body(LedgerBody message) {
    return new StoredBody(
        message.getVersion(),
        message.getReferencesList().stream().map(EnvelopeCodec::key).toList(),
        EnvelopeCodec.body(message.getBody()));
  }

  private static ServiceAssignment service(LedgerService message) {
    return new ServiceAssignment(
        message.getService(),
        message.getCurrent(),
        message.getRoutesList().stream()
            .map(route -> new RouteAssignment(route.getRoute(), route.getCurrent()))
            .toList());
  }
}
