package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.Map;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints the progress or the outcome of moves. */
final class MoveStatusCommand implements Command {

  @Argument(metaVar = "NAME", usage = "name of the move; all moves if not given")
  private String name;

  @Option(
      name = "--node",
      required = true,
      metaVar = "URL",
      usage = "operator address of a node, as http://host:port[,...]")
  private String node;

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  public int run(CommandContext context) {
    JsonNode page = NodePageReader.of(node).read("/moves", Map.of());
    List<MoveView> moves =
        MoveView.of(page).stream()
            .filter(move -> name == null || move.name().equals(name))
            .toList();
    if (name != null && moves.isEmpty()) {
      throw CuminlatchException.of(
          ErrorCode.INVALID_SETTING,
          Step.SETTINGS,
          "NAME: found " + name + ", expected the name of a move that the node has");
    }
    print(moves, context.console());
    return ExitStatus.OK;
  }

  private void print(List<MoveView> moves, Console console) {
    if (json) {
      ArrayNode list = JsonNodeFactory.instance.arrayNode();
      moves.forEach(move -> list.add(move.json()));
      console.out().println(list);
      return;
    }
    TextTable table =
        new TextTable("MOVE", "SERVICE", "ROUTE", "FROM", "TO", "DEADLINE", "OUTCOME", "STATE");
    moves.forEach(move -> table.row(move.row()));
    table.print(console.out());
  }
}
