package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;

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
            JsonTables.elements(page.path("routes")),
            "ROUTE=name",
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
}
