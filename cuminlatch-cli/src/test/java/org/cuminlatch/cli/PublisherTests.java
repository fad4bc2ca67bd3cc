package org.cuminlatch.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.cuminlatch.cli.ScriptedLog.AppendOutcome;
import org.cuminlatch.cli.publish.Publication.Entry;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.TargetVersion;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.wire.config.ConfigurationCodecs;
import org.cuminlatch.wire.log.LogStreams;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Publisher")
class PublisherTests {

  private static final Entry SERVICE =
      new Entry("target-version[1]", new TargetVersion("siparis", "v1"), OptionalLong.empty());
  private static final Entry ROUTE =
      new Entry("route[1]", Route.of("orders", "/orders", "siparis"), OptionalLong.of(0));

  private final ScriptedLog log = new ScriptedLog();
  private final List<Duration> sleeps = new ArrayList<>();
  private final StringWriter out = new StringWriter();
  private Runnable duringSleep = () -> {};

  @Test
  void retriesWithBackoff() {
    log.setNextOutcomes(
        AppendOutcome.RATE_LIMITED, AppendOutcome.REQUEST_LOST, AppendOutcome.RATE_LIMITED);
    assertThat(publish(SERVICE), is(ExitStatus.OK));
    assertThat(log.records(LogStreams.CONFIGURATION), hasSize(1));
    assertThat(sleeps, hasSize(3));
    assertThat(sleeps, everyItem(lessThanOrEqualTo(Duration.ofMillis(800))));
  }

  @Test
  void appendsOnceIfOnlyTheAnswerIsLost() {
    log.setNextOutcomes(AppendOutcome.APPENDED_BUT_ANSWER_LOST);
    assertThat(publish(SERVICE), is(ExitStatus.OK));
    assertThat(log.records(LogStreams.CONFIGURATION), hasSize(1));
  }

  @Test
  void reportsUnknownOutcomeAfterLastAttempt() {
    log.setNextOutcomes(
        AppendOutcome.REQUEST_LOST,
        AppendOutcome.REQUEST_LOST,
        AppendOutcome.REQUEST_LOST,
        AppendOutcome.REQUEST_LOST,
        AppendOutcome.REQUEST_LOST);
    CuminlatchException error = assertThrows(CuminlatchException.class, () -> publish(SERVICE));
    assertThat(error.code(), is(ErrorCode.LOG_UNAVAILABLE));
    assertThat(error.getMessage(), containsString("it may still take effect"));
  }

  @Test
  void stopsAtRefusalCausedByConcurrentOperator() {
    publish(SERVICE);
    log.setNextOutcomes(AppendOutcome.RATE_LIMITED);
    duringSleep =
        () ->
            log.append(
                LogStreams.CONFIGURATION,
                ConfigurationCodecs.encode("other", ROUTE.resource(), OptionalLong.of(0)));
    Entry secondRoute =
        new Entry("route[2]", Route.of("quotes", "/quotes", "siparis"), OptionalLong.empty());
    assertThat(publish(ROUTE, secondRoute), is(ExitStatus.REFUSED));
    assertThat(out.toString(), containsString("EXPECTED_VERSION_MISMATCH"));
    assertThat(log.records(LogStreams.CONFIGURATION), hasSize(3));
  }

  private int publish(Entry... entries) {
    Console console = new Console(new PrintWriter(out, true), new PrintWriter(out, true));
    CommandContext context =
        new CommandContext(console, () -> Instant.EPOCH, new Random(1), this::sleep);
    return Publisher.connect(log, context).run(List.of(entries), false);
  }

  private void sleep(Duration duration) {
    sleeps.add(duration);
    duringSleep.run();
  }
}
