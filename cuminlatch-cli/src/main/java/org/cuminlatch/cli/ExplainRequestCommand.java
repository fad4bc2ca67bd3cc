package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cuminlatch.cli.request.RequestCourse;
import org.cuminlatch.cli.request.RequestStep;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Says step by step what happened to a request, from the lines that the nodes have written. */
final class ExplainRequestCommand implements Command {

  @Argument(index = 0, required = true, metaVar = "ID", usage = "id of the request")
  private String id;

  @Argument(
      index = 1,
      required = true,
      multiValued = true,
      metaVar = "FILE...",
      usage = "lines of the nodes")
  private List<Path> files = new ArrayList<>();

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  public int run(CommandContext context) {
    RequestCourse course = RequestCourse.read(id, files);
    if (course.unreadable() > 0) {
      context
          .console()
          .err()
          .printf("cuminlatch: %d lines hold no event, they are left out%n", course.unreadable());
    }
    if (json) {
      printJson(course, context.console());
    } else {
      print(course, context.console());
    }
    return course.steps().isEmpty() ? ExitStatus.UNAVAILABLE : ExitStatus.OK;
  }

  private void print(RequestCourse course, Console console) {
    if (course.steps().isEmpty()) {
      console
          .out()
          .printf(
              "no line on request %s: answered requests are sampled, and lines beyond a node's"
                  + " budget are dropped%n",
              id);
    }
    for (RequestStep step : course.steps()) {
      String mark = step.own() ? " " : "~";
      console.out().printf("%s %s %s %s%n", step.time(), mark, step.node(), step.sentence());
    }
  }

  private static void printJson(RequestCourse course, Console console) {
    ArrayNode steps = JsonNodeFactory.instance.arrayNode();
    for (RequestStep step : course.steps()) {
      steps
          .addObject()
          .put("time", step.time().toString())
          .put("node", step.node())
          .put("ofRequest", step.own())
          .put("says", step.sentence())
          .set("line", step.line());
    }
    console.out().println(steps.toPrettyString());
  }
}
