package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.cuminlatch.core.config.ResourceKey;

/** Lists the routes and services in force on a node. */
final class RoutesCommand extends NodeCommand {

  @Override
  String path() {
    return "/routes";
  }

  @Override
  void print(JsonNode page, Console console) {
    console.out().println("configuration version " + JsonTables.text(page.path("version")));
    JsonTables.of(
            routesWithVersions(page),
            "ROUTE=name",
            "VERSION=status.version",
            "IN FORCE=status.versionInForce",
            "HOST=host",
            "PATH=pathPrefix",
            "HEADERS=headers",
            "SERVICE=service",
            "TIMEOUT=limits.timeout",
            "ATTEMPTS=limits.maxAttempts",
            "STICKY=stickyHeader")
        .print(console.out());
    console.out().println();
    JsonTables.of(
            JsonTables.elements(page.path("services")),
            "SERVICE=service",
            "CURRENT=current",
            "VERSIONS=versions",
            "ROUTES ELSEWHERE=currentByRoute")
        .print(console.out());
  }

  private static List<JsonNode> routesWithVersions(JsonNode page) {
    List<JsonNode> routes = new ArrayList<>();
    for (JsonNode route : page.path("routes")) {
      ObjectNode row = route.isObject() ? route.deepCopy() : JsonNodeFactory.instance.objectNode();
      String key = ResourceKey.route(route.path("name").asText("-")).toString();
      row.set("status", page.path("resources").path(key));
      routes.add(row);
    }
    return routes;
  }
}
