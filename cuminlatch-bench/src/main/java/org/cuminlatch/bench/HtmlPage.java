package org.cuminlatch.bench;

import java.util.List;

/** Renders a report as an HTML page with a table and a plot. */
final class HtmlPage {

  private HtmlPage() {}

  static String of(Report report) {
    Results results = report.results();
    StringBuilder page = new StringBuilder("<!doctype html><meta charset=\"utf-8\">");
    page.append("<title>").append(escape(results.title())).append("</title>");
    page.append("<h1>").append(escape(results.title())).append("</h1>\n<table border=\"1\">");
    page.append(row(results.columns(), "th"));
    results.rows().forEach(cells -> page.append(row(cells, "td")));
    page.append("</table>\n").append(Plot.of(results)).append("\n<ul>");
    results.notes().forEach(note -> page.append("<li>").append(escape(note)));
    page.append("</ul>\n<pre>").append(escape(report.command())).append('\n');
    page.append(report.date()).append(", ").append(escape(report.machine().toString()));
    return page.append("</pre>\n").toString();
  }

  private static String row(List<String> cells, String tag) {
    StringBuilder row = new StringBuilder("<tr>");
    cells.forEach(cell -> row.append('<').append(tag).append('>').append(escape(cell)));
    return row.append('\n').toString();
  }

  static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
