package org.cuminlatch.cli.publish;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.Resource;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.TargetVersion;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("Publication file")
class PublicationFileTests {

  private static final Instant NOW = Instant.parse("2026-12-04T08:00:00Z");

  @Test
  void returnsResourcesInOrderOfPublication() {
    Publication publication =
        parse(
            """
            [[move]]
            name = "m"
            service = "siparis"
            from = "v1"
            to = "v2"
            deadline = "30m"
            steps = [0.05, 1]
            soak = "2m"

            [[route]]
            name = "orders"
            path-prefix = "/orders"
            service = "siparis"
            expect = 4

            [[target-version]]
            service = "siparis"
            version = "v2"
            """);
    assertThat(
        resources(publication),
        contains(
            new TargetVersion("siparis", "v2"),
            Route.of("orders", "/orders", "siparis"),
            new Move(
                "m",
                "siparis",
                Optional.empty(),
                "v1",
                "v2",
                NOW,
                NOW.plus(Duration.ofMinutes(30)),
                List.of(0.05, 1.0),
                Duration.ofMinutes(2),
                false)));
    assertThat(publication.entries().get(1).expectedVersion(), is(OptionalLong.of(4)));
  }

  @Test
  void readsAllKeysOfRoute() {
    Publication publication =
        parse(
            """
            [[route]]
            name = "orders"
            host = "siparis.example"
            path-prefix = "/orders"
            headers = { x-canary = "1" }
            service = "siparis"
            sticky-header = "x-customer"
            timeout = "1500ms"
            max-attempts = 2
            retry-budget = 0.2
            idempotent-methods = ["GET", "PUT"]
            idempotence-header = "x-safe"
            """);
    CallLimits limits =
        new CallLimits(Duration.ofMillis(1_500), 2, 0.2, Set.of("GET", "PUT"), "x-safe");
    assertThat(
        resources(publication),
        contains(
            new Route(
                "orders",
                Optional.of("siparis.example"),
                "/orders",
                Map.of("x-canary", "1"),
                "siparis",
                limits,
                Optional.of("x-customer"))));
  }

  @Test
  void readsDateTimes() {
    Publication publication =
        parse(
            """
            [[move]]
            name = "m"
            service = "siparis"
            from = "v1"
            to = "v2"
            start = 2026-12-04T20:00:00+03:00
            deadline = 2026-12-04T18:00:00Z
            """);
    Move move = (Move) publication.entries().get(0).resource();
    assertThat(move.start(), equalTo(Instant.parse("2026-12-04T17:00:00Z")));
    assertThat(move.deadline(), equalTo(Instant.parse("2026-12-04T18:00:00Z")));
  }

  @Test
  void readsExampleFiles() throws IOException {
    int filesRead = 0;
    try (DirectoryStream<Path> files =
        Files.newDirectoryStream(Path.of("../config/examples"), "*.toml")) {
      for (Path file : files) {
        assertThat(PublicationFile.read(file, NOW).entries(), hasSize(greaterThan(0)));
        filesRead++;
      }
    }
    assertThat(filesRead, greaterThan(1));
  }

  @Nested
  class WhenInvalid {

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "service = 1                | route[1].service: found 1, expected a string",
          "service = ' '              | route[1].service: found  , expected a name",
          "path-prefix = 'orders'     | route[1].path-prefix: found orders, expected a path",
          "timeout = 5                | route[1].timeout: found 5, expected a string",
          "timeout = 'soon'           | route[1].timeout: found soon, expected a duration",
          "timeout = '11m'            | route[1].timeout: found 11m, expected more than 0",
          "max-attempts = 6           | route[1].max-attempts: found 6, expected an integer",
          "retry-budget = 2.0         | route[1].retry-budget: found 2.0, expected a number",
          "idempotent-methods = 'GET' | route[1].idempotent-methods: found GET, expected an array",
          "headers = { a = 1 }        | route[1].headers.a: found 1, expected a string",
          "expect = -1                | route[1].expect: found -1, expected an integer",
          "pathprefix = '/'           | route[1].pathprefix: found /, expected one of the keys"
        })
    void namesKeyAndFoundAndExpectedValue(String line, String expected) {
      String key = line.substring(0, line.indexOf('=')).strip();
      String text =
          List.of("name = 'r'", "path-prefix = '/'", "service = 's'").stream()
              .filter(other -> !other.startsWith(key + " "))
              .reduce("[[route]]\n" + line, (all, other) -> all + "\n" + other);
      assertThat(errorOf(text), containsString(expected));
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "                           | file: found nothing, expected at least one table of",
          "[[rout]]                   | rout: found",
          "route = 1                  | route: found 1, expected tables with the header [[route]]",
          "[[route]                   | file: invalid TOML",
          "[[target-version]]         | target-version[1].service: found nothing, expected a name"
        })
    void reportsMissingOrMalformedTables(String text, String expected) {
      assertThat(errorOf(text == null ? "" : text), containsString(expected));
    }

    @Test
    void rejectsDuplicateNames() {
      String route = "[[route]]\nname = 'r'\npath-prefix = '/'\nservice = 's'\n";
      assertThat(errorOf(route + route), containsString("route[2]: found r, expected a name"));
    }

    @Test
    void rejectsDeadlineInThePast() {
      String move =
          "[[move]]\nname = 'm'\nservice = 's'\nfrom = 'a'\nto = 'b'\n"
              + "start = 2026-12-04T06:00:00Z\ndeadline = 2026-12-04T07:00:00Z\n";
      assertThat(
          errorOf(move),
          containsString(
              "move[1].deadline: found 2026-12-04T07:00:00Z, expected a time later than"));
    }

    private String errorOf(String text) {
      CuminlatchException error = assertThrows(CuminlatchException.class, () -> parse(text));
      assertThat(error.code(), is(ErrorCode.INVALID_SETTING));
      assertThat(error.getMessage().lines().count(), is(1L));
      return error.getMessage();
    }
  }

  private static Publication parse(String text) {
    return PublicationFile.parse(text, NOW);
  }

  private static List<Resource> resources(Publication publication) {
    return publication.entries().stream().map(Publication.Entry::resource).toList();
  }
}
