package org.cuminlatch.bench;

import java.util.ArrayList;
import java.util.List;

/** Renders a report as a text table with aligned columns. */
final class TextTable {

  private TextTable() {}

  static String of(Report report) {
    Results results = report.results();
    List<List<String>> lines = new ArrayList<>();
    lines.add(results.columns());
    lines.addAll(results.rows());
    StringBuilder text = new StringBuilder(results.title()).append('\n');
    lines.forEach(line -> text.append(aligned(line, lines)).append('\n'));
    results.notes().forEach(note -> text.append("# ").append(note).append('\n'));
    text.append("# ").append(report.command()).append('\n');
    text.append("# ").append(report.date()).append(", ").append(report.machine()).append('\n');
    return text.toString();
  }

  private static String aligned(List<String> line, List<List<String>> lines) {
    StringBuilder text = new StringBuilder();
    for (int column = 0; column < line.size(); column++) {
      int index = column;
      int width = lines.stream().mapToInt(other -> other.get(index).length()).max().orElse(0);
      text.append(column == 0 ? "" : "  ");
      text.append(" ".repeat(width - line.get(column).length())).append(line.get(column));
    }
    return text.toString();
  }
}
