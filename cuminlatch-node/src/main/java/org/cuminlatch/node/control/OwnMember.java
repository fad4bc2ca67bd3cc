package org.cuminlatch.node.control;

import java.time.Instant;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.Member.Status;
import org.cuminlatch.node.settings.NodeSettings;

/** Builds what a starting node announces of itself. */
final class OwnMember {

  private OwnMember() {}

  /** The start time is the incarnation, so that it is above that of any earlier life. */
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
