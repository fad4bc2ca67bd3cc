package org.cuminlatch.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Reports of experiments")
class ReportTests {

  private static Report report(List<List<String>> rows) {
    return new Report(
        "size",
        "bin/cuminlatch-bench size --seed 1",
        Instant.EPOCH,
        new Machine(4, 8_000, "17"),
        new Results("Bytes <by size>", List.of("members", "bytes/s"), rows, List.of("a note")));
  }

  private static final Report NUMERIC_REPORT =
      report(List.of(List.of("10", "5.5"), List.of("100", "11")));

  @Test
  void textTableAlignsColumns() {
    assertThat(
        TextTable.of(NUMERIC_REPORT), containsString("members  bytes/s\n     10      5.5\n"));
  }

  @Test
  void textTableContainsCommandAndMachine() {
    assertThat(
        TextTable.of(NUMERIC_REPORT), containsString("# bin/cuminlatch-bench size --seed 1\n"));
    assertThat(TextTable.of(NUMERIC_REPORT), containsString("4 cores, 8000 MB, Java 17"));
  }

  @Test
  void htmlPagePlotsNumericColumns() {
    String page = HtmlPage.of(NUMERIC_REPORT);
    assertThat(page, containsString("<polyline"));
    assertThat(page, containsString("Bytes &lt;by size&gt;"));
  }

  @Test
  void htmlPageHasNoPlotWithoutNumericColumns() {
    assertThat(
        HtmlPage.of(report(List.of(List.of("a", "b"), List.of("c", "d")))),
        not(containsString("<polyline")));
  }

  @Test
  void experimentNamesAreUnique() {
    List<String> names = Experiments.all().stream().map(Experiment::name).toList();
    assertThat(names.stream().distinct().toList(), is(names));
  }
}
