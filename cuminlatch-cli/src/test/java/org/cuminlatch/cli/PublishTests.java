package org.cuminlatch.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.config.TargetVersion;
import org.cuminlatch.testkit.log.PlatformLog;
import org.cuminlatch.testkit.log.PlatformLogOptions;
import org.cuminlatch.wire.config.ConfigurationCodecs;
import org.cuminlatch.wire.log.HttpLogClient;
import org.cuminlatch.wire.log.LogStreams;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("publish, validate, move stop and log tail")
class PublishTests {

  private static final String SERVICE = "[[target-version]]\nservice = 'siparis'\nversion = 'v1'\n";
  private static final String ROUTE =
      "[[route]]\nname = 'orders'\npath-prefix = '/orders'\nservice = 'siparis'\n";

  @TempDir private Path directory;

  private final ToolFixture tool = new ToolFixture();
  private PlatformLog log;
  private String url;

  @BeforeEach
  void start() {
    log = PlatformLog.start(new PlatformLogOptions(0, 1_000, 10_000));
    url = "http://127.0.0.1:" + log.port();
  }

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void appendsResourcesAndPrintsVerdicts() throws IOException {
    assertThat(publish(SERVICE + ROUTE), is(ExitStatus.OK));
    assertThat(tool.out(), containsString("route/orders"));
    assertThat(tool.out(), containsString("accepted"));
    assertThat(appends(), is(2L));
  }

  @Test
  void appendsNothingIfFileIsInvalid() throws IOException {
    assertThat(publish(SERVICE + ROUTE + "timeout = 'soon'\n"), is(ExitStatus.INVALID_INPUT));
    assertThat(tool.err(), containsString("route[1].timeout: found soon"));
    assertThat(appends(), is(0L));
  }

  @Test
  void appendsNothingIfFoldWouldRefuseResource() throws IOException {
    String other = ROUTE.replace("siparis", "saha").replace("orders", "quotes");
    assertThat(publish(SERVICE + ROUTE + other), is(ExitStatus.REFUSED));
    assertThat(tool.out(), containsString("UNRESOLVED_REFERENCE"));
    assertThat(tool.err(), containsString("nothing was appended"));
    assertThat(appends(), is(0L));
  }

  @Test
  void printsJson() throws IOException {
    publish(SERVICE, "--json");
    assertThat(tool.out(), containsString("\"resource\":\"target-version/siparis@v1\""));
    assertThat(tool.out(), containsString("\"accepted\":true,\"offset\":0"));
  }

  @Nested
  class WithExpectedVersion {

    @Test
    void refusesSecondOfTwoConcurrentChanges() throws IOException {
      publish(SERVICE);
      assertThat(publish(ROUTE, "--expect", "0"), is(ExitStatus.OK));
      assertThat(publish(ROUTE, "--expect", "0"), is(ExitStatus.REFUSED));
      assertThat(tool.out(), containsString("route/orders is at version 2, expected 0"));
      assertThat(publish(ROUTE, "--expect", "2"), is(ExitStatus.OK));
    }

    @Test
    void requiresSingleResource() throws IOException {
      assertThat(publish(SERVICE + ROUTE, "--expect", "0"), is(ExitStatus.INVALID_INPUT));
      assertThat(appends(), is(0L));
    }
  }

  @Nested
  class WhenLogIsFaulty {

    @Test
    void readsVerdictOfAppendWhoseAnswerWasLost() throws IOException {
      publish(SERVICE);
      log.loseAnswers(1);
      assertThat(publish(ROUTE), is(ExitStatus.OK));
      assertThat(appends(), is(2L));
    }

    @Test
    void reportsUnavailableLog() throws IOException {
      log.startOutage(Duration.ofHours(1));
      assertThat(publish(SERVICE), is(ExitStatus.UNAVAILABLE));
      assertThat(tool.err(), containsString("LOG_UNAVAILABLE"));
    }

    @Test
    void startsFromLatestValidCheckpointAfterLogTruncation() throws IOException {
      publish(SERVICE);
      appendCheckpoint(Bytes.copyOf(new byte[] {1, 2, 3}));
      appendCheckpoint(checkpoint());
      appendCheckpoint(Bytes.copyOf(new byte[] {4, 5, 6}));
      publish(ROUTE);
      publish(ROUTE.replace("'/orders'", "'/other'"));
      log.setRetention(3);
      publish(ROUTE.replace("'orders'", "'a'"));
      assertThat(publish(ROUTE.replace("'orders'", "'b'")), is(ExitStatus.OK));
    }

    private Bytes checkpoint() {
      ConfigurationReplica replica = ConfigurationCodecs.replica(event -> {});
      Bytes record =
          ConfigurationCodecs.encode(
              "id", new TargetVersion("siparis", "v1"), OptionalLong.empty());
      replica.fold(List.of(new LogRecord(0, record)));
      return replica.checkpoint();
    }

    private void appendCheckpoint(Bytes content) {
      try (HttpLogClient client =
          HttpLogClient.create(List.of(URI.create(url)), Duration.ofSeconds(20))) {
        client.append(LogStreams.CHECKPOINTS, content).join();
      }
    }
  }

  @Nested
  class WhenStoppingMove {

    @Test
    void publishesStopOfOpenMove() throws IOException {
      publish(SERVICE + SERVICE.replace("v1", "v2"));
      publish("[[move]]\nname='m'\nservice='siparis'\nfrom='v1'\nto='v2'\ndeadline='1h'\n");
      assertThat(stop("m"), is(ExitStatus.OK));
      assertThat(stop("m"), is(ExitStatus.REFUSED));
      assertThat(tool.out(), containsString("MOVE_STOPPED"));
    }

    @Test
    void refusesStopOfUnknownMove() {
      assertThat(stop("none"), is(ExitStatus.REFUSED));
      assertThat(tool.out(), containsString("no such move: none"));
      assertThat(appends(), is(0L));
    }

    private int stop(String move) {
      return tool.run("move", "stop", move, "--log", url, "--reason", "slow");
    }
  }

  @Test
  void logTailPrintsLastRecords() throws IOException {
    publish(SERVICE + ROUTE);
    tool.run("log", "tail", "--log", url, "--count", "1");
    assertThat(tool.out(), containsString("route/orders schemas [1]"));
    assertThat(tool.out(), not(containsString("target-version")));
  }

  @Test
  void validateChecksFileAndOptionallyLog() throws IOException {
    Path file = Files.writeString(directory.resolve("route.toml"), ROUTE);
    assertThat(tool.run("validate", file.toString()), is(ExitStatus.OK));
    assertThat(tool.run("validate", file.toString(), "--log", url), is(ExitStatus.REFUSED));
    assertThat(appends(), is(0L));
    assertThat(log.counts().get(LogStreams.CONFIGURATION).reads(), greaterThan(0L));
  }

  private int publish(String text, String... options) throws IOException {
    Path file = Files.writeString(directory.resolve("file.toml"), text);
    String[] arguments = new String[4 + options.length];
    arguments[0] = "publish";
    arguments[1] = file.toString();
    arguments[2] = "--log";
    arguments[3] = url;
    System.arraycopy(options, 0, arguments, 4, options.length);
    return tool.run(arguments);
  }

  private long appends() {
    return log.counts().containsKey(LogStreams.CONFIGURATION)
        ? log.counts().get(LogStreams.CONFIGURATION).appends()
        : 0;
  }
}
