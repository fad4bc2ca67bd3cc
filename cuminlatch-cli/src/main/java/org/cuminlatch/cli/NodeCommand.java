package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.kohsuke.args4j.Option;

/** Base class of the verbs that print one operator page of a node. */
abstract class NodeCommand implements Command {

  @Option(
      name = "--node",
      required = true,
      metaVar = "URL",
      usage =
          "operator address of a node, as http://host:port[,...]; the first that answers is used")
  private String node;

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  public final int run(CommandContext context) {
    JsonNode page = NodePageReader.of(node).read(path(), query());
    if (json) {
      context.console().out().println(page);
    } else {
      print(page, context.console());
    }
    return ExitStatus.OK;
  }

  abstract String path();

  Map<String, String> query() {
    return Map.of();
  }

  abstract void print(JsonNode page, Console console);
}
