package org.cuminlatch.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("explain-request")
class ExplainRequestCommandTests {

  private static final String GATE_REFUSED =
      "{\"time\":\"2026-12-04T08:00:01.200Z\",\"node\":\"n2\",\"event\":\"gate-refused\","
          + "\"request\":\"a1\",\"target\":\"i-7\",\"reason\":\"QUEUE_FULL\",\"running\":6,"
          + "\"waiting\":9,\"limit\":6}";
  private static final String REFUSED =
      "{\"time\":\"2026-12-04T08:00:01.210Z\",\"node\":\"n1\",\"event\":\"refused\","
          + "\"request\":\"a1\",\"status\":503,\"reason\":\"QUEUE_FULL\",\"retryAfter\":0.120,"
          + "\"config\":12}";
  private static final String OTHER_REQUEST =
      "{\"time\":\"2026-12-04T08:00:01.205Z\",\"node\":\"n1\",\"event\":\"refused\","
          + "\"request\":\"b2\",\"status\":503,\"reason\":\"QUEUE_FULL\",\"retryAfter\":0.1}";
  private static final String LINK_LOST =
      "{\"time\":\"2026-12-04T08:00:00.900Z\",\"node\":\"n1\",\"event\":\"link-lost\","
          + "\"peer\":\"10.0.0.3:7080\"}";
  private static final String LINK_LOST_EARLIER =
      "{\"time\":\"2026-12-04T07:59:00Z\",\"node\":\"n1\",\"event\":\"link-lost\","
          + "\"peer\":\"10.0.0.4:7080\"}";

  @TempDir Path folder;

  private final ToolFixture tool = new ToolFixture();

  private String file(String name, String... lines) throws IOException {
    return Files.write(folder.resolve(name), List.of(lines)).toString();
  }

  @Nested
  class WithEventsInSeveralFiles {

    @Test
    void printsEventsInChronologicalOrder() throws IOException {
      String entryNodeLog = file("n1", REFUSED, OTHER_REQUEST, LINK_LOST, LINK_LOST_EARLIER);
      String targetNodeLog = file("n2", GATE_REFUSED);

      assertThat(tool.run("explain-request", "a1", entryNodeLog, targetNodeLog), is(ExitStatus.OK));

      List<String> events = tool.out().strip().lines().toList();
      assertThat(events, hasSize(3));
      assertThat(events.get(0), containsString("n1 loses its connection to the node at 10.0.0.3"));
      assertThat(
          events.get(1),
          containsString("no free slot at target i-7: QUEUE_FULL, 6 of 6 slots in use and 9"));
      assertThat(events.get(2), containsString("refuses it with 503, not executed: QUEUE_FULL"));
      assertThat(events.get(2), containsString("after 0.12 s; configuration 12"));
    }

    @Test
    void omitsEventsOfOtherRequestsAndOutsideTheContextWindow() throws IOException {
      tool.run("explain-request", "a1", file("n1", REFUSED, OTHER_REQUEST, LINK_LOST_EARLIER));

      assertThat(tool.out(), not(containsString("b2")));
      assertThat(tool.out(), not(containsString("10.0.0.4")));
    }

    @Test
    void includesContextEventsOfTheTargetsNode() throws IOException {
      String callEndedEarly =
          "{\"time\":\"2026-12-04T08:00:02Z\",\"node\":\"n1\",\"event\":\"call-ended-early\","
              + "\"request\":\"a1\",\"reason\":\"caller left\",\"target\":\"i-7\",\"number\":1,"
              + "\"attemptMillis\":950,\"tookMillis\":960}";
      String peerStatus =
          "{\"time\":\"2026-12-04T07:50:00Z\",\"node\":\"n1\",\"event\":\"peer-status\","
              + "\"peer\":\"n2\",\"target\":\"i-7\",\"phase\":\"READY\",\"stops\":\"false\"}";
      String nodeBehind =
          "{\"time\":\"2026-12-04T08:00:01Z\",\"node\":\"n2\",\"event\":\"node-behind\","
              + "\"lagMillis\":430}";

      tool.run(
          "explain-request", "a1", file("n1", peerStatus, callEndedEarly), file("n2", nodeBehind));

      assertThat(tool.out(), containsString("n2 falls behind: its traffic loop lags by 430 ms"));
      assertThat(tool.out(), containsString("had been at target i-7 for 950 ms"));
    }

    @Test
    void printsJson() throws IOException {
      tool.run("explain-request", "--json", "a1", file("n1", REFUSED), file("n2", GATE_REFUSED));

      JsonNode events = new ObjectMapper().readTree(tool.out());
      assertThat(events.size(), is(2));
      assertThat(events.get(1).path("line").path("status").asInt(), is(503));
      assertThat(events.get(0).path("says").asText(), startsWith("has no free slot"));
    }
  }

  @Nested
  class WithLinesFromCollector {

    @Test
    void skipsPrefixBeforeTheJson() throws IOException {
      assertThat(
          tool.run("explain-request", "a1", file("n1", "  17.02 n1 " + REFUSED)),
          is(ExitStatus.OK));
      assertThat(tool.out(), containsString("refuses it with 503"));
    }

    @Test
    void ignoresEventWithoutTime() throws IOException {
      String withoutTime = REFUSED.replaceFirst("\"time\":\"[^\"]*\",", "");

      assertThat(
          tool.run("explain-request", "a1", file("n1", withoutTime, REFUSED)), is(ExitStatus.OK));
      assertThat(tool.err(), containsString("1 lines hold no event"));
    }

    @Test
    void reportsNumberOfLinesWithoutEvent() throws IOException {
      tool.run("explain-request", "a1", file("n1", "started up", "{\"x\":", REFUSED));

      assertThat(tool.err(), containsString("2 lines hold no event"));
    }
  }

  @Nested
  class WithoutEvents {

    @Test
    void explainsWhyEventsMayBeMissing() throws IOException {
      assertThat(
          tool.run("explain-request", "zz", file("n1", REFUSED)), is(ExitStatus.UNAVAILABLE));
      assertThat(tool.out(), containsString("no event of request zz"));
    }

    @Test
    void namesFileThatCannotBeRead() {
      String missing = folder.resolve("none").toString();

      assertThat(tool.run("explain-request", "a1", missing), is(ExitStatus.INVALID_INPUT));
      assertThat(tool.err(), containsString(missing));
    }
  }
}
