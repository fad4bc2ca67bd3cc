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

@DisplayName("The explanation of a request")
class ExplainRequestTests {

  private static final String REFUSED_BY_GATE =
      "{\"time\":\"2026-12-04T08:00:01.200Z\",\"node\":\"n2\",\"event\":\"gate-refused\","
          + "\"request\":\"a1\",\"target\":\"i-7\",\"reason\":\"QUEUE_FULL\",\"running\":6,"
          + "\"waiting\":9,\"limit\":6}";
  private static final String REFUSED =
      "{\"time\":\"2026-12-04T08:00:01.210Z\",\"node\":\"n1\",\"event\":\"refused\","
          + "\"request\":\"a1\",\"status\":503,\"reason\":\"QUEUE_FULL\",\"retryAfter\":0.120,"
          + "\"config\":12}";
  private static final String OTHER =
      "{\"time\":\"2026-12-04T08:00:01.205Z\",\"node\":\"n1\",\"event\":\"refused\","
          + "\"request\":\"b2\",\"status\":503,\"reason\":\"QUEUE_FULL\",\"retryAfter\":0.1}";
  private static final String LINK_LOST =
      "{\"time\":\"2026-12-04T08:00:00.900Z\",\"node\":\"n1\",\"event\":\"link-lost\","
          + "\"peer\":\"10.0.0.3:7080\"}";
  private static final String LONG_BEFORE =
      "{\"time\":\"2026-12-04T07:59:00Z\",\"node\":\"n1\",\"event\":\"link-lost\","
          + "\"peer\":\"10.0.0.4:7080\"}";

  @TempDir Path folder;

  private final ToolFixture tool = new ToolFixture();

  private String file(String name, String... lines) throws IOException {
    return Files.write(folder.resolve(name), List.of(lines)).toString();
  }

  @Nested
  class OfRequestInSeveralFiles {

    @Test
    void putsTheLinesInTheOrderOfTime() throws IOException {
      String entry = file("n1", REFUSED, OTHER, LINK_LOST, LONG_BEFORE);
      String gate = file("n2", REFUSED_BY_GATE);

      assertThat(tool.run("explain-request", "a1", entry, gate), is(ExitStatus.OK));

      List<String> steps = tool.out().strip().lines().toList();
      assertThat(steps, hasSize(3));
      assertThat(steps.get(0), containsString("n1 loses its connection to the node at 10.0.0.3"));
      assertThat(
          steps.get(1),
          containsString("no slot for it at target i-7: QUEUE_FULL, 6 of 6 slots in use and 9"));
      assertThat(steps.get(2), containsString("refuses it with 503, not executed: QUEUE_FULL"));
      assertThat(steps.get(2), containsString("after 0.12 s; configuration 12"));
    }

    @Test
    void leavesOutWhatBelongsToOtherRequestsAndTimes() throws IOException {
      tool.run("explain-request", "a1", file("n1", REFUSED, OTHER, LONG_BEFORE));

      assertThat(tool.out(), not(containsString("b2")));
      assertThat(tool.out(), not(containsString("10.0.0.4")));
    }

    @Test
    void addsWhatTheNodeBesideTheTargetBelieved() throws IOException {
      String left =
          "{\"time\":\"2026-12-04T08:00:02Z\",\"node\":\"n1\",\"event\":\"call-ended-early\","
              + "\"request\":\"a1\",\"reason\":\"caller left\",\"target\":\"i-7\",\"number\":1,"
              + "\"attemptMillis\":950,\"tookMillis\":960}";
      String known =
          "{\"time\":\"2026-12-04T07:50:00Z\",\"node\":\"n1\",\"event\":\"peer-status\","
              + "\"peer\":\"n2\",\"target\":\"i-7\",\"phase\":\"READY\",\"stops\":\"false\"}";
      String behind =
          "{\"time\":\"2026-12-04T08:00:01Z\",\"node\":\"n2\",\"event\":\"node-behind\","
              + "\"lagMillis\":430}";

      tool.run("explain-request", "a1", file("n1", known, left), file("n2", behind));

      assertThat(tool.out(), containsString("n2 is behind with its own work, by 430 ms"));
      assertThat(tool.out(), containsString("had been at target i-7 for 950 ms"));
    }

    @Test
    void printsJson() throws IOException {
      tool.run("explain-request", "--json", "a1", file("n1", REFUSED), file("n2", REFUSED_BY_GATE));

      JsonNode steps = new ObjectMapper().readTree(tool.out());
      assertThat(steps.size(), is(2));
      assertThat(steps.get(1).path("line").path("status").asInt(), is(503));
      assertThat(steps.get(0).path("says").asText(), startsWith("has no slot"));
    }
  }

  @Nested
  class OfCollectedLines {

    @Test
    void skipsWhatStandsBeforeThem() throws IOException {
      assertThat(
          tool.run("explain-request", "a1", file("n1", "  17.02 n1 " + REFUSED)),
          is(ExitStatus.OK));
      assertThat(tool.out(), containsString("refuses it with 503"));
    }

    @Test
    void leavesOutWhatHasNoTime() throws IOException {
      String timeless = REFUSED.replaceFirst("\"time\":\"[^\"]*\",", "");

      assertThat(
          tool.run("explain-request", "a1", file("n1", timeless, REFUSED)), is(ExitStatus.OK));
      assertThat(tool.err(), containsString("1 lines hold no event"));
    }

    @Test
    void countsWhatHoldsNoEvent() throws IOException {
      tool.run("explain-request", "a1", file("n1", "started up", "{\"x\":", REFUSED));

      assertThat(tool.err(), containsString("2 lines hold no event"));
    }
  }

  @Nested
  class OfUnknownRequest {

    @Test
    void saysWhyThereMayBeNoLine() throws IOException {
      assertThat(
          tool.run("explain-request", "zz", file("n1", REFUSED)), is(ExitStatus.UNAVAILABLE));
      assertThat(tool.out(), containsString("no line on request zz"));
    }

    @Test
    void namesFileThatCanNotBeRead() {
      String missing = folder.resolve("none").toString();

      assertThat(tool.run("explain-request", "a1", missing), is(ExitStatus.INVALID_INPUT));
      assertThat(tool.err(), containsString(missing));
    }
  }
}
