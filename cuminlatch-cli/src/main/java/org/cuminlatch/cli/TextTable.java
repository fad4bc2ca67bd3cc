package org.cuminlatch.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Table of text whose columns are as wide as their widest cell. */
final class TextTable {

  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  TextTable(String... titles) {
    rows.add(List.of(titles));
  }

  void row(Object... cells) {
    rows.add(Arrays.stream(cells).map(String::valueOf).toList());
  }

  void print(PrintWriter out) {
    int columns = rows.get(0).size();
    int[] widths = new int[columns];
    for (List<String> row : rows) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    rows.forEach(row -> out.println(line(row, widths)));
  }

  private static String line(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      String cell = row.get(i);
      line.append(cell).append(" ".repeat(widths[i] - cell.length())).append(GAP);
    }
    return line.toString().stripTrailing();
  }
}
