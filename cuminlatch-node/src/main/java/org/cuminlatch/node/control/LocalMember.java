package org.cuminlatch.node.control;

import java.time.Instant;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.Member.Status;
import org.cuminlatch.node.settings.NodeSettings;

/** Creates the member entry that a starting node announces for itself. */
final class LocalMember {

  private LocalMember() {}

  /**
   * Creates the entry with the start time as the incarnation, so that it is higher than that of any
   * earlier process of the same instance.
   */
  static Member of(NodeSettings settings, Instant startedAt) {
    return new Member(
        settings.instance(),
        startedAt.toEpochMilli(),
        Status.ALIVE,
        settings.controlListen(),
        settings.callListen(),
        settings.locality(),
        settings.target().service(),
        settings.target().version(),
        settings.target().slots(),
        Phase.STARTING,
        settings.schemaVersions(),
        0,
        "");
  }
}
