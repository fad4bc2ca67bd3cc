package org.cuminlatch.node.mesh;

import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.route.RouteTable;
import org.cuminlatch.core.route.VersionRule;

/**
 * What the control thread hands to the traffic, replaced as a whole.
 *
 * @param table routes of the configuration in force, empty before the first one
 * @param rules division of the calls by version, by service
 */
record MeshView(Optional<RouteTable> table, Map<String, VersionRule> rules) {

  static final MeshView EMPTY = new MeshView(Optional.empty(), Map.of());

  MeshView {
    rules = Map.copyOf(rules);
  }

  MeshView withTable(RouteTable newer) {
    return new MeshView(Optional.of(newer), rules);
  }

  MeshView withRules(Map<String, VersionRule> newer) {
    return new MeshView(table, newer);
  }

  /** Returns the configuration version in force, 0 before the first one. */
  long version() {
    return table.map(routes -> routes.snapshot().version()).orElse(0L);
  }
}
