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

/** Converts the tables of a publication file to resources. */
final class ResourceTables {

  /** Key, allowed in every table, of the current version of the resource that is expected. */
  static final String EXPECTED_VERSION_KEY = "expect";

  private static final int MAX_ATTEMPTS = 5;

  private ResourceTables() {}

  static Resource targetVersion(TableReader table) {
    table.rejectUnknownKeys(Set.of("service", "version", EXPECTED_VERSION_KEY));
    return withQualifiedErrors(
        table, () -> new TargetVersion(table.name("service"), table.name("version")));
  }

  static Resource routeRemoval(TableReader table) {
    table.rejectUnknownKeys(Set.of("name", EXPECTED_VERSION_KEY));
    return withQualifiedErrors(table, () -> new RouteRemoval(table.name("name")));
  }

  static Resource route(TableReader table) {
    table.rejectUnknownKeys(
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
            EXPECTED_VERSION_KEY));
    return withQualifiedErrors(
        table,
        () ->
            new Route(
                table.name("name"),
                table.string("host"),
                pathPrefix(table),
                table.stringMap("headers"),
                table.name("service"),
                limits(table),
                table.string("sticky-header")));
  }

  static Resource move(TableReader table, Instant now) {
    table.rejectUnknownKeys(
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
            EXPECTED_VERSION_KEY));
    Instant start = start(table, now);
    Move move = toMove(table, start, now);
    MovePlanValidator.findProblem(move)
        .ifPresent(
            reason -> {
              throw PublicationErrors.invalid(
                  table.qualify("deadline") + " cannot be met: " + reason);
            });
    return move;
  }

  private static Move toMove(TableReader table, Instant start, Instant now) {
    return withQualifiedErrors(
        table,
        () ->
            new Move(
                table.name("name"),
                table.name("service"),
                table.string("route"),
                table.name("from"),
                table.name("to"),
                start,
                deadline(table, start, now),
                table.shares("steps"),
                table.duration("soak").orElse(Duration.ZERO),
                table.bool("region-by-region").orElse(false)));
  }

  private static String pathPrefix(TableReader table) {
    String key = "path-prefix";
    String expected = "a path that starts with /";
    String prefix =
        table
            .string(key)
            .orElseThrow(() -> PublicationErrors.missing(table.qualify(key), expected));
    if (!prefix.startsWith("/")) {
      throw PublicationErrors.unexpected(table.qualify(key), prefix, expected);
    }
    return prefix;
  }

  private static CallLimits limits(TableReader table) {
    CallLimits defaults = CallLimits.defaults();
    return new CallLimits(
        timeout(table).orElse(defaults.timeout()),
        (int) table.integer("max-attempts", 1, MAX_ATTEMPTS).orElse(defaults.maxAttempts()),
        table.share("retry-budget").orElse(defaults.retryBudget()),
        table.strings("idempotent-methods").orElse(defaults.idempotentMethods()),
        table.string("idempotence-header").orElse(defaults.idempotenceHeader()));
  }

  private static Optional<Duration> timeout(TableReader table) {
    Optional<Duration> timeout = table.duration("timeout");
    boolean valid =
        timeout.isEmpty()
            || !timeout.get().isZero() && timeout.get().compareTo(CallLimits.MAX_TIMEOUT) <= 0;
    if (!valid) {
      String expected = "more than 0 and at most " + CallLimits.MAX_TIMEOUT.toMinutes() + "m";
      throw PublicationErrors.unexpected(
          table.qualify("timeout"), table.string("timeout").orElse(""), expected);
    }
    return timeout;
  }

  private static Instant start(TableReader table, Instant now) {
    Object start = table.dateTimeOrDuration("start").orElse(Duration.ZERO);
    return toInstant(start, now);
  }

  private static Instant deadline(TableReader table, Instant start, Instant now) {
    String key = "deadline";
    String expected = "a date-time or a duration after the start";
    Object found =
        table
            .dateTimeOrDuration(key)
            .orElseThrow(() -> PublicationErrors.missing(table.qualify(key), expected));
    Instant deadline = toInstant(found, start);
    if (!deadline.isAfter(now)) {
      throw PublicationErrors.unexpected(table.qualify(key), deadline, "a time later than " + now);
    }
    return deadline;
  }

  private static Instant toInstant(Object found, Instant base) {
    Instant instant =
        found instanceof OffsetDateTime time ? time.toInstant() : base.plus((Duration) found);
    return instant.truncatedTo(ChronoUnit.MILLIS);
  }

  private static <T extends Resource> T withQualifiedErrors(TableReader table, Supplier<T> reader) {
    try {
      return reader.get();
    } catch (IllegalArgumentException e) {
      throw PublicationErrors.invalid(table.qualify(e.getMessage()));
    }
  }
}
