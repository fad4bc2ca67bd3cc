package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Lists the members of the mesh that a node has in its membership list. */
final class MembersCommand extends NodeCommand {

  @Override
  String path() {
    return "/members";
  }

  @Override
  void print(JsonNode page, Console console) {
    JsonNode members = page.has("members") ? page.path("members") : page;
    JsonTables.of(
            JsonTables.elements(members),
            "INSTANCE=instance",
            "STATUS=status",
            "PHASE=phase",
            "REGION=locality.region",
            "ZONE=locality.zone",
            "SERVICE=service",
            "TARGET VERSION=targetVersion",
            "SLOTS=slots",
            "SCHEMAS=schemaVersions",
            "CONFIGURATION=configVersion")
        .print(console.out());
  }
}
