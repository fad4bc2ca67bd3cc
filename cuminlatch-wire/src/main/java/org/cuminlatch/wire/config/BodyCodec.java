package org.cuminlatch.wire.config;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.core.config.RecordKinds;
import org.cuminlatch.core.config.Resource;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RouteRemoval;
import org.cuminlatch.core.config.SchemaBody;
import org.cuminlatch.core.config.TargetVersion;
import org.cuminlatch.wire.proto.config.RouteRemovalV1;
import org.cuminlatch.wire.proto.config.TargetVersionV1;

/** Encodes and decodes the bodies of records according to their kind and schema version. */
final class BodyCodec {

  private static final Map<Format, Function<byte[], Resource>> DECODERS =
      Map.of(
          new Format(RecordKinds.ROUTE, RouteCodec.V1), RouteCodec::decodeV1,
          new Format(RecordKinds.ROUTE, RouteCodec.V2), RouteCodec::decodeV2,
          new Format(RecordKinds.ROUTE_REMOVAL, 1), BodyCodec::decodeRouteRemoval,
          new Format(RecordKinds.TARGET_VERSION, 1), BodyCodec::decodeTargetVersion,
          new Format(RecordKinds.MOVE, 1), MoveCodec::decodeMove,
          new Format(RecordKinds.MOVE_STOP, 1), MoveCodec::decodeStop,
          new Format(RecordKinds.MOVE_OUTCOME, 1), MoveCodec::decodeOutcome);

  private BodyCodec() {}

  static SchemaBody encode(Resource resource, int schemaVersion) {
    return new SchemaBody(schemaVersion, Bytes.copyOf(bytes(resource, schemaVersion)));
  }

  static Resource decode(String kind, SchemaBody body) {
    String subject = kind + " in schema version " + body.schemaVersion();
    Format format = new Format(kind, body.schemaVersion());
    return StrictParser.translateRecordErrors(
        subject, () -> decoder(format).apply(body.content().toArray()));
  }

  private static Function<byte[], Resource> decoder(Format format) {
    return Optional.ofNullable(DECODERS.get(format))
        .orElseThrow(() -> new IllegalArgumentException("is not supported by this release"));
  }

  private static byte[] bytes(Resource resource, int schemaVersion) {
    if (resource instanceof Route route) {
      return schemaVersion == RouteCodec.V1
          ? RouteCodec.encodeV1(route)
          : RouteCodec.encodeV2(route);
    }
    if (resource instanceof RouteRemoval removal) {
      return RouteRemovalV1.newBuilder().setName(removal.name()).build().toByteArray();
    }
    if (resource instanceof TargetVersion target) {
      return TargetVersionV1.newBuilder()
          .setService(target.service())
          .setVersion(target.version())
          .build()
          .toByteArray();
    }
    if (resource instanceof Move move) {
      return MoveCodec.encode(move);
    }
    return resource instanceof MoveStop stop
        ? MoveCodec.encode(stop)
        : MoveCodec.encode((MoveOutcome) resource);
  }

  private static Resource decodeRouteRemoval(byte[] content) {
    return new RouteRemoval(StrictParser.parse(RouteRemovalV1.parser(), content).getName());
  }

  private static Resource decodeTargetVersion(byte[] content) {
    TargetVersionV1 message = StrictParser.parse(TargetVersionV1.parser(), content);
    return new TargetVersion(message.getService(), message.getVersion());
  }

  private record Format(String kind, int schemaVersion) {}
}
