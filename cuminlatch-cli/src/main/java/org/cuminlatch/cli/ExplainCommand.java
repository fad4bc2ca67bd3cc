package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.MapOptionHandler;

/** Shows the routing decision that a node would make for a request. */
final class ExplainCommand extends NodeCommand {

  @Option(name = "--host", metaVar = "HOST", usage = "host of the request")
  private String host = "";

  @Option(name = "--path", required = true, metaVar = "PATH", usage = "path of the request")
  private String path;

  @Option(name = "--method", metaVar = "METHOD", usage = "method of the request")
  private String method = "GET";

  @Option(
      name = "--header",
      metaVar = "NAME=VALUE",
      handler = MapOptionHandler.class,
      usage = "header of the request, can be repeated")
  private Map<String, String> headers = new LinkedHashMap<>();

  @Override
  String path() {
    return "/explain";
  }

  @Override
  Map<String, String> query() {
    Map<String, String> query = new LinkedHashMap<>();
    query.put("host", host);
    query.put("path", path);
    query.put("method", method);
    headers.forEach((name, value) -> query.put("header." + name, value));
    return query;
  }

  @Override
  void print(JsonNode page, Console console) {
    TextTable table = new TextTable("WHAT", "ANSWER");
    table.row("reason", JsonTables.text(page.path("reason")));
    table.row("route", JsonTables.text(JsonTables.at(page, "route.name")));
    table.row("service", JsonTables.text(JsonTables.at(page, "route.service")));
    table.row("target version", JsonTables.text(page.path("version")));
    table.row("instance", JsonTables.text(JsonTables.at(page, "target.instance")));
    table.row("zone", JsonTables.text(JsonTables.at(page, "target.locality")));
    table.row("configuration", JsonTables.text(page.path("configVersion")));
    table.print(console.out());
  }
}
