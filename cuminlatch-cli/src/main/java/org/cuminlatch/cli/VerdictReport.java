package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.cuminlatch.cli.publish.Publication;
import org.cuminlatch.core.config.FoldEvent;
import org.cuminlatch.core.config.Refusal;

/** Prints the verdicts of the fold on the resources of a publication. */
final class VerdictReport {

  private VerdictReport() {}

  static int printValid(Console console, Publication publication, boolean json) {
    if (json) {
      ObjectNode root = JsonNodeFactory.instance.objectNode();
      root.put("valid", true).put("resources", publication.entries().size());
      console.out().println(root);
    } else {
      console.out().println("valid: " + publication.entries().size() + " resources");
    }
    return ExitStatus.OK;
  }

  static int print(Console console, List<Publisher.Verdict> verdicts, boolean json) {
    if (json) {
      ArrayNode root = JsonNodeFactory.instance.arrayNode();
      verdicts.forEach(verdict -> root.add(toJson(verdict)));
      console.out().println(root);
    } else {
      TextTable table = new TextTable("ENTRY", "RESOURCE", "VERDICT", "VERSION", "REASON");
      verdicts.forEach(verdict -> table.row(toRow(verdict)));
      table.print(console.out());
    }
    boolean accepted = verdicts.stream().allMatch(verdict -> verdict.decision().isAccepted());
    return accepted ? ExitStatus.OK : ExitStatus.REFUSED;
  }

  private static Object[] toRow(Publisher.Verdict verdict) {
    FoldEvent.Decided decision = verdict.decision();
    return new Object[] {
      verdict.entry().key(),
      decision.resource().map(Object::toString).orElse("-"),
      decision.isAccepted() ? "accepted" : "refused",
      decision.isAccepted() ? decision.offset() + 1 : "-",
      decision.refusal().map(VerdictReport::describe).orElse("")
    };
  }

  private static ObjectNode toJson(Publisher.Verdict verdict) {
    FoldEvent.Decided decision = verdict.decision();
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("entry", verdict.entry().key());
    decision.resource().ifPresent(key -> node.put("resource", key.toString()));
    decision.recordId().ifPresent(id -> node.put("recordId", id));
    node.put("accepted", decision.isAccepted());
    node.put("offset", decision.offset());
    decision
        .refusal()
        .ifPresent(
            refusal -> node.put("reason", refusal.reason().name()).put("detail", refusal.detail()));
    return node;
  }

  private static String describe(Refusal refusal) {
    return refusal.reason() + ": " + refusal.detail();
  }
}
