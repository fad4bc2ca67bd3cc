package org.cuminlatch.core.membership;

import org.cuminlatch.core.config.HashAbbreviation;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.Member.Status;

/** Creates copies of a member with some of its facts changed. */
final class Members {

  private Members() {}

  static Member withStatus(Member member, long incarnation, Status status) {
    return copy(
        member,
        incarnation,
        status,
        member.phase(),
        member.targetVersion(),
        member.slots(),
        member.configVersion(),
        member.stateHash());
  }

  static Member withPhase(Member member, Phase phase) {
    return copy(
        member,
        member.incarnation(),
        member.status(),
        phase,
        member.targetVersion(),
        member.slots(),
        member.configVersion(),
        member.stateHash());
  }

  static Member withTarget(Member member, String targetVersion, int slots) {
    return copy(
        member,
        member.incarnation(),
        member.status(),
        member.phase(),
        targetVersion,
        slots,
        member.configVersion(),
        member.stateHash());
  }

  static Member withConfiguration(Member member, long configVersion, String stateHash) {
    return copy(
        member,
        member.incarnation(),
        member.status(),
        member.phase(),
        member.targetVersion(),
        member.slots(),
        configVersion,
        HashAbbreviation.of(stateHash));
  }

  private static Member copy(
      Member member,
      long incarnation,
      Status status,
      Phase phase,
      String targetVersion,
      int slots,
      long configVersion,
      String stateHash) {
    return new Member(
        member.instance(),
        incarnation,
        status,
        member.controlAddress(),
        member.callAddress(),
        member.locality(),
        member.service(),
        targetVersion,
        slots,
        phase,
        member.schemaVersions(),
        configVersion,
        stateHash);
  }
}
