package org.cuminlatch.bench.config;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.config.Resource;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.TargetVersion;
import org.cuminlatch.wire.config.ConfigurationCodecs;

/** Log of a mesh of a given size: services, routes, ended and open moves. */
final class SampleLog {

  private static final int OPEN_MOVE_EVERY = 5;
  private static final int HEADER_ROUTE_EVERY = 4;
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

  private final List<LogRecord> records = new ArrayList<>();
  private final int services;

  private SampleLog(int services) {
    this.services = services;
  }

  static SampleLog of(int services, int routes, int moves) {
    SampleLog log = new SampleLog(services);
    for (int i = 0; i < services; i++) {
      log.add(new TargetVersion("service-" + i, "v1"));
      log.add(new TargetVersion("service-" + i, "v2"));
    }
    for (int i = 0; i < routes; i++) {
      log.add(log.route(i, "/path-" + i));
    }
    for (int i = 0; i < moves; i++) {
      log.addMove(i);
    }
    return log;
  }

  List<LogRecord> records() {
    return records;
  }

  /** Appends a change of one route and returns it. */
  LogRecord change(int number) {
    return add(route(number, "/changed-" + records.size()));
  }

  private void addMove(int number) {
    String name = "move-" + number;
    Move move =
        new Move(
            name,
            "service-" + number % services,
            Optional.empty(),
            "v1",
            "v2",
            START,
            START.plus(Duration.ofHours(1)),
            List.of(0.02, 0.1, 0.5, 1.0),
            Duration.ofMinutes(10),
            false);
    add(move);
    if (number % OPEN_MOVE_EVERY != 0) {
      add(new MoveOutcome(name, MoveOutcome.Result.ROLLED_BACK, "by figures", START, 0.1));
    }
  }

  private Route route(int number, String prefix) {
    Map<String, String> headers =
        number % HEADER_ROUTE_EVERY == 0 ? Map.of("x-canary", "1") : Map.of();
    return new Route(
        "route-" + number,
        Optional.of("host-" + number + ".example"),
        prefix,
        headers,
        "service-" + number % services,
        CallLimits.defaults(),
        Optional.empty());
  }

  private LogRecord add(Resource resource) {
    String recordId = "0f1e2d3c-4b5a-6978-8796-" + String.format("%012d", records.size());
    LogRecord record =
        new LogRecord(
            records.size(), ConfigurationCodecs.encode(recordId, resource, OptionalLong.empty()));
    records.add(record);
    return record;
  }
}
