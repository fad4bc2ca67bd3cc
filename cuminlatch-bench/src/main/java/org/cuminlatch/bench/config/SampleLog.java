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

/** Configuration log with a given number of services, routes and moves, some of them open. */
final class SampleLog {

  private static final int OPEN_MOVE_INTERVAL = 5;
  private static final int HEADER_ROUTE_INTERVAL = 4;
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
      log.appendMove(i);
    }
    return log;
  }

  List<LogRecord> records() {
    return records;
  }

  /** Appends a changed version of a route and returns its record. */
  LogRecord appendRouteChange(int index) {
    return add(route(index, "/changed-" + records.size()));
  }

  private void appendMove(int index) {
    String name = "move-" + index;
    Move move =
        new Move(
            name,
            "service-" + index % services,
            Optional.empty(),
            "v1",
            "v2",
            START,
            START.plus(Duration.ofHours(1)),
            List.of(0.02, 0.1, 0.5, 1.0),
            Duration.ofMinutes(10),
            false);
    add(move);
    if (index % OPEN_MOVE_INTERVAL != 0) {
      add(new MoveOutcome(name, MoveOutcome.Result.ROLLED_BACK, "by figures", START, 0.1));
    }
  }

  private Route route(int index, String pathPrefix) {
    Map<String, String> headers =
        index % HEADER_ROUTE_INTERVAL == 0 ? Map.of("x-canary", "1") : Map.of();
    return new Route(
        "route-" + index,
        Optional.of("host-" + index + ".example"),
        pathPrefix,
        headers,
        "service-" + index % services,
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
