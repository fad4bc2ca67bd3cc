package org.cuminlatch.wire.config;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.wire.proto.config.Header;
import org.cuminlatch.wire.proto.config.RouteV1;
import org.cuminlatch.wire.proto.config.RouteV2;

/** Encodes and decodes routes in schema versions 1 and 2; the rules of both versions are frozen. */
final class RouteCodec {

  /** First schema version. */
  static final int V1 = 1;

  /**
   * Second schema version; adds header matching, stickiness, retry budget and idempotence header.
   */
  static final int V2 = 2;

  private static final double V1_RETRY_BUDGET = 0.1;
  private static final String V1_IDEMPOTENCE_HEADER = "x-idempotent";

  private RouteCodec() {}

  static byte[] encodeV1(Route route) {
    return RouteV1.newBuilder()
        .setName(route.name())
        .setHost(route.host().orElse(""))
        .setPathPrefix(route.pathPrefix())
        .setService(route.service())
        .setTimeoutMillis(route.limits().timeout().toMillis())
        .setMaxAttempts(route.limits().maxAttempts())
        .addAllIdempotentMethods(new TreeSet<>(route.limits().idempotentMethods()))
        .build()
        .toByteArray();
  }

  static byte[] encodeV2(Route route) {
    RouteV2.Builder builder =
        RouteV2.newBuilder()
            .setName(route.name())
            .setHost(route.host().orElse(""))
            .setPathPrefix(route.pathPrefix())
            .setService(route.service())
            .setTimeoutMillis(route.limits().timeout().toMillis())
            .setMaxAttempts(route.limits().maxAttempts())
            .addAllIdempotentMethods(new TreeSet<>(route.limits().idempotentMethods()))
            .setStickyHeader(route.stickyHeader().orElse(""))
            .setRetryBudget(route.limits().retryBudget())
            .setIdempotenceHeader(route.limits().idempotenceHeader());
    new TreeMap<>(route.headers())
        .forEach(
            (name, value) -> builder.addHeaders(Header.newBuilder().setName(name).setValue(value)));
    return builder.build().toByteArray();
  }

  static Route decodeV1(byte[] content) {
    RouteV1 message = StrictParser.parse(RouteV1.parser(), content);
    CallLimits limits =
        new CallLimits(
            Duration.ofMillis(message.getTimeoutMillis()),
            message.getMaxAttempts(),
            V1_RETRY_BUDGET,
            Set.copyOf(message.getIdempotentMethodsList()),
            V1_IDEMPOTENCE_HEADER);
    return new Route(
        message.getName(),
        nonEmpty(message.getHost()),
        message.getPathPrefix(),
        Map.of(),
        message.getService(),
        limits,
        Optional.empty());
  }

  static Route decodeV2(byte[] content) {
    RouteV2 message = StrictParser.parse(RouteV2.parser(), content);
    CallLimits limits =
        new CallLimits(
            Duration.ofMillis(message.getTimeoutMillis()),
            message.getMaxAttempts(),
            message.getRetryBudget(),
            Set.copyOf(message.getIdempotentMethodsList()),
            message.getIdempotenceHeader());
    return new Route(
        message.getName(),
        nonEmpty(message.getHost()),
        message.getPathPrefix(),
        headers(message),
        message.getService(),
        limits,
        nonEmpty(message.getStickyHeader()));
  }

  private static Map<String, String> headers(RouteV2 message) {
    Map<String, String> headers =
        message.getHeadersList().stream()
            .collect(
                Collectors.toMap(Header::getName, Header::getValue, (first, second) -> second));
    StrictParser.require(
        headers.size() == message.getHeadersCount(), "contains a duplicate header");
    return headers;
  }

  private static Optional<String> nonEmpty(String text) {
    return Optional.of(text).filter(value -> !value.isEmpty());
  }
}
