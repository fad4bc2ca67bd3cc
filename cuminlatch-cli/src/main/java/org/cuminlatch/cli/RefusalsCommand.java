package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Lists the records that the fold of a node has refused. */
final class RefusalsCommand extends NodeCommand {

  @Override
  String path() {
    return "/refusals";
  }

  @Override
  void print(JsonNode page, Console console) {
    JsonTables.of(JsonTables.elements(page), "OFFSET=offset", "RECORD=recordId", "REASON=reason")
        .print(console.out());
  }
}
