package org.cuminlatch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.stream.IntStream;

/** Plots the numeric columns of a table over its first column, each scaled to its own maximum. */
final class Plot {

  private static final int WIDTH_PIXELS = 640;
  private static final int HEIGHT_PIXELS = 300;
  private static final int MARGIN_PIXELS = 40;
  private static final int LABEL_HEIGHT_PIXELS = 16;
  private static final List<String> COLOURS =
      List.of("#1b6ca8", "#c0392b", "#27864b", "#8e5ea2", "#b9770e", "#444444");

  private Plot() {}

  /** Returns an SVG element, empty if the first column or all others are not numeric. */
  static String of(Results results) {
    List<Double> horizontalValues = numbers(results, 0);
    List<Integer> columns =
        IntStream.range(1, results.columns().size())
            .filter(column -> !numbers(results, column).isEmpty())
            .boxed()
            .toList();
    if (horizontalValues.size() < 2 || columns.isEmpty()) {
      return "";
    }
    StringBuilder svg = new StringBuilder();
    svg.append(
        String.format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\">",
            WIDTH_PIXELS, HEIGHT_PIXELS + LABEL_HEIGHT_PIXELS * columns.size()));
    for (int i = 0; i < columns.size(); i++) {
      svg.append(series(results, columns.get(i), horizontalValues, i));
    }
    return svg.append("</svg>").toString();
  }

  private static String series(
      Results results, int column, List<Double> horizontalValues, int index) {
    List<Double> values = numbers(results, column);
    double maxHorizontal = maximum(horizontalValues);
    double maxVertical = maximum(values);
    String colour = COLOURS.get(index % COLOURS.size());
    StringBuilder points = new StringBuilder();
    for (int i = 0; i < values.size(); i++) {
      double x =
          MARGIN_PIXELS
              + horizontalValues.get(i) / maxHorizontal * (WIDTH_PIXELS - 2 * MARGIN_PIXELS);
      double y =
          HEIGHT_PIXELS
              - MARGIN_PIXELS
              - values.get(i) / maxVertical * (HEIGHT_PIXELS - 2 * MARGIN_PIXELS);
      points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x, y));
    }
    return String.format(
        Locale.ROOT,
        "<polyline fill=\"none\" stroke=\"%s\" points=\"%s\"/>"
            + "<text x=\"%d\" y=\"%d\" fill=\"%s\" font-size=\"12\">%s (top = %s)</text>",
        colour,
        points.toString().trim(),
        MARGIN_PIXELS,
        HEIGHT_PIXELS + LABEL_HEIGHT_PIXELS * index,
        colour,
        HtmlPage.escape(results.columns().get(column)),
        maxVertical);
  }

  private static double maximum(List<Double> values) {
    double maximum = values.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    return maximum > 0 ? maximum : 1;
  }

  /** Returns the numbers of a column, empty if any of its cells is not a number. */
  private static List<Double> numbers(Results results, int column) {
    List<Double> numbers = new ArrayList<>();
    for (List<String> row : results.rows()) {
      OptionalDouble number = number(row.get(column));
      if (number.isEmpty()) {
        return List.of();
      }
      numbers.add(number.getAsDouble());
    }
    return numbers;
  }

  private static OptionalDouble number(String cell) {
    try {
      return OptionalDouble.of(Double.parseDouble(cell));
    } catch (NumberFormatException e) {
      return OptionalDouble.empty();
    }
  }
}
