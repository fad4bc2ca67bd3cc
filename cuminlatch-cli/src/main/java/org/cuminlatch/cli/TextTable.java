package org.cuminlatch.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Text table with left-aligned columns, each as wide as its widest cell. */
final class TextTable {

  private static final String COLUMN_SEPARATOR = "  ";

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
    rows.forEach(row -> out.println(format(row, widths)));
  }

  private static String format(List<String> row, int[] widths) {
    StringBuilder formatted = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      String cell = row.get(i);
      formatted.append(cell).append(" ".repeat(widths[i] - cell.length())).append(COLUMN_SEPARATOR);
    }
    return formatted.toString().stripTrailing();
  }
}
