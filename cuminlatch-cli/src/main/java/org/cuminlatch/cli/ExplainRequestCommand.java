package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cuminlatch.cli.request.RequestEvent;
import org.cuminlatch.cli.request.RequestTimeline;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints the timeline of a request, reconstructed from the nodes' event logs. */
final class ExplainRequestCommand implements Command {

  @Argument(index = 0, required = true, metaVar = "ID", usage = "ID of the request")
  private String id;

  @Argument(
      index = 1,
      required = true,
      multiValued = true,
      metaVar = "FILE...",
      usage = "event logs of the nodes")
  private List<Path> files = new ArrayList<>();

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  public int run(CommandContext context) {
    RequestTimeline timeline = RequestTimeline.read(id, files);
    if (timeline.unreadableLines() > 0) {
      context
          .console()
          .err()
          .printf(
              "cuminlatch: %d lines hold no event and are ignored%n", timeline.unreadableLines());
    }
    if (json) {
      printJson(timeline, context.console());
    } else {
      print(timeline, context.console());
    }
    return timeline.events().isEmpty() ? ExitStatus.UNAVAILABLE : ExitStatus.OK;
  }

  private void print(RequestTimeline timeline, Console console) {
    if (timeline.events().isEmpty()) {
      console
          .out()
          .printf(
              "no event of request %s: answered requests are sampled, and lines beyond a node's"
                  + " logging budget are dropped%n",
              id);
    }
    for (RequestEvent event : timeline.events()) {
      String mark = event.ofRequest() ? " " : "~";
      console.out().printf("%s %s %s %s%n", event.time(), mark, event.node(), event.description());
    }
  }

  private static void printJson(RequestTimeline timeline, Console console) {
    ArrayNode events = JsonNodeFactory.instance.arrayNode();
    for (RequestEvent event : timeline.events()) {
      events
          .addObject()
          .put("time", event.time().toString())
          .put("node", event.node())
          .put("ofRequest", event.ofRequest())
          .put("says", event.description())
          .set("line", event.line());
    }
    console.out().println(events.toPrettyString());
  }
}
