package org.cuminlatch.cli.publish;

import java.time.Duration;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.Resource;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RouteRemoval;
import org.cuminlatch.core.config.TargetVersion;
import org.cuminlatch.core.move.MovePlanValidator;

/** Reads resources from the tables of a publication. */
final class ResourceTables {

  /** Key of the version of the resource that the operator last saw; every table may have it. */
  static final String EXPECT = "expect";

  private static final int MAX_ATTEMPTS = 5;

  private ResourceTables() {}

  static Resource targetVersion(TableReader table) {
    table.allowOnly(Set.of("service", "version", EXPECT));
    return checked(table, () -> new TargetVersion(table.name("service"), table.name("version")));
  }

  static Resource routeRemoval(TableReader table) {
    table.allowOnly(Set.of("name", EXPECT));
    return checked(table, () -> new RouteRemoval(table.name("name")));
  }

  static Resource route(TableReader table) {
    table.allowOnly(
        Set.of(
            "name",
            "host",
            "path-prefix",
            "headers",
            "service",
            "sticky-header",
            "timeout",
            "max-attempts",
            "retry-budget",
            "idempotent-methods",
            "idempotence-header",
            EXPECT));
    return checked(
        table,
        () ->
            new Route(
                table.name("name"),
                table.text("host"),
                pathPrefix(table),
                table.textsByName("headers"),
                table.name("service"),
                limits(table),
                table.text("sticky-header")));
  }

  static Resource move(TableReader table, Instant now) {
    table.allowOnly(
        Set.of(
            "name",
            "service",
            "route",
            "from",
            "to",
            "start",
            "deadline",
            "steps",
            "soak",
            "region-by-region",
            EXPECT));
    Instant start = start(table, now);
    Move move = readMove(table, start, now);
    MovePlanValidator.findProblem(move)
        .ifPresent(
            reason -> {
              throw InvalidFile.because(table.path("deadline") + " can't be met: " + reason);
            });
    return move;
  }

  private static Move readMove(TableReader table, Instant start, Instant now) {
    return checked(
        table,
        () ->
            new Move(
                table.name("name"),
                table.name("service"),
                table.text("route"),
                table.name("from"),
                table.name("to"),
                start,
                deadline(table, start, now),
                table.shares("steps"),
                table.duration("soak").orElse(Duration.ZERO),
                table.flag("region-by-region").orElse(false)));
  }

  private static String pathPrefix(TableReader table) {
    String key = "path-prefix";
    String wanted = "a path that starts with /";
    String prefix = table.text(key).orElseThrow(() -> InvalidFile.missing(table.path(key), wanted));
    if (!prefix.startsWith("/")) {
      throw InvalidFile.had(table.path(key), prefix, wanted);
    }
    return prefix;
  }

  private static CallLimits limits(TableReader table) {
    CallLimits defaults = CallLimits.defaults();
    return new CallLimits(
        timeout(table).orElse(defaults.timeout()),
        (int) table.wholeNumber("max-attempts", 1, MAX_ATTEMPTS).orElse(defaults.maxAttempts()),
        table.share("retry-budget").orElse(defaults.retryBudget()),
        table.texts("idempotent-methods").orElse(defaults.idempotentMethods()),
        table.text("idempotence-header").orElse(defaults.idempotenceHeader()));
  }

  private static Optional<Duration> timeout(TableReader table) {
    Optional<Duration> timeout = table.duration("timeout");
    boolean fits =
        timeout.isEmpty()
            || !timeout.get().isZero() && timeout.get().compareTo(CallLimits.MAX_TIMEOUT) <= 0;
    if (!fits) {
      String wanted = "more than 0 and at most " + CallLimits.MAX_TIMEOUT.toMinutes() + "m";
      throw InvalidFile.had(table.path("timeout"), table.text("timeout").orElse(""), wanted);
    }
    return timeout;
  }

  private static Instant start(TableReader table, Instant now) {
    Object start = table.dateTimeOrDuration("start").orElse(Duration.ZERO);
    return instant(start, now);
  }

  private static Instant deadline(TableReader table, Instant start, Instant now) {
    String key = "deadline";
    String wanted = "a date-time or a duration after the start";
    Object found =
        table
            .dateTimeOrDuration(key)
            .orElseThrow(() -> InvalidFile.missing(table.path(key), wanted));
    Instant deadline = instant(found, start);
    if (!deadline.isAfter(now)) {
      throw InvalidFile.had(table.path(key), deadline, "a time after now, which is " + now);
    }
    return deadline;
  }

  private static Instant instant(Object found, Instant base) {
    Instant instant =
        found instanceof OffsetDateTime time ? time.toInstant() : base.plus((Duration) found);
    return instant.truncatedTo(ChronoUnit.MILLIS);
  }

  private static <T extends Resource> T checked(TableReader table, Supplier<T> reading) {
    try {
      return reading.get();
    } catch (IllegalArgumentException e) {
      throw InvalidFile.because(table.path(e.getMessage()));
    }
  }
}
