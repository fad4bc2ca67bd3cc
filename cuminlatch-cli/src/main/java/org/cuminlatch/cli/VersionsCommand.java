package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.TreeMap;

/** Lists the configuration version in force on each instance, with a count for each version. */
final class VersionsCommand extends NodeCommand {

  @Override
  String path() {
    return "/versions";
  }

  @Override
  void print(JsonNode page, Console console) {
    TreeMap<Long, Integer> instanceCounts = new TreeMap<>();
    TextTable table = new TextTable("INSTANCE", "CONFIGURATION");
    for (Map.Entry<String, JsonNode> entry : page.properties()) {
      table.row(entry.getKey(), JsonTables.text(entry.getValue()));
      instanceCounts.merge(entry.getValue().asLong(), 1, Integer::sum);
    }
    table.print(console.out());
    console.out().println();
    instanceCounts
        .descendingMap()
        .forEach(
            (version, count) ->
                console.out().printf("version %d in force on %d%n", version, count));
  }
}
