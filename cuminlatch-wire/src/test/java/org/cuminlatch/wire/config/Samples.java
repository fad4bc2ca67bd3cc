package org.cuminlatch.wire.config;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.config.RecordEnvelope;
import org.cuminlatch.core.config.RecordKinds;
import org.cuminlatch.core.config.ResourceKey;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.SchemaBody;

/** Creates resources and records for tests. */
final class Samples {

  static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  static final Duration HOUR = Duration.ofHours(1);

  private Samples() {}

  static Move move(String name, String from, String to) {
    return move(name, Optional.empty(), from, to);
  }

  static Move move(String name, Optional<String> route, String from, String to) {
    return new Move(
        name,
        "siparis",
        route,
        from,
        to,
        START,
        START.plus(HOUR),
        List.of(0.05, 0.5, 1.0),
        Duration.ofMinutes(5),
        false);
  }

  static Move timed(Instant start, Instant deadline, List<Double> steps, Duration soak) {
    return new Move(
        "m", "siparis", Optional.empty(), "v1", "v2", start, deadline, steps, soak, false);
  }

  static MoveOutcome outcome(String move, MoveOutcome.Result result) {
    return new MoveOutcome(move, result, "by the figures", START.plus(HOUR), 1);
  }

  static Route headerRoute(String name, String value) {
    return new Route(
        name,
        Optional.of("example.org"),
        "/orders",
        Map.of("x-canary", value),
        "siparis",
        CallLimits.defaults(),
        Optional.of("x-customer"));
  }

  static Route stickyRoute(String name, String prefix) {
    return new Route(
        name,
        Optional.empty(),
        prefix,
        Map.of(),
        "siparis",
        CallLimits.defaults(),
        Optional.of("x-customer"));
  }

  static Bytes routeRecord(String recordId, String route, SchemaBody... bodies) {
    return ConfigurationCodecs.encode(
        new RecordEnvelope(
            recordId,
            RecordKinds.ROUTE,
            route,
            OptionalLong.empty(),
            List.of(ResourceKey.service("siparis")),
            List.of(bodies)));
  }

  static SchemaBody bodyV1(Route route) {
    return BodyCodec.encode(route, RouteCodec.V1);
  }

  static SchemaBody bodyV2(Route route) {
    return BodyCodec.encode(route, RouteCodec.V2);
  }

  static SchemaBody opaque(int schemaVersion, int length) {
    byte[] content = new byte[length];
    Arrays.fill(content, (byte) 0xFF);
    return new SchemaBody(schemaVersion, Bytes.copyOf(content));
  }
}
