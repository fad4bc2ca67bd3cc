package org.cuminlatch.node.control;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipListener;
import org.cuminlatch.core.move.MoveDecision;
import org.cuminlatch.core.move.MoveDecisionListener;

/**
 * Logs one line for each membership change and each move decision, with the configuration version
 * in force.
 */
final class ControlDecisionLog implements MembershipListener, MoveDecisionListener {

  private static final Logger DECISIONS = LogManager.getLogger("decisions");

  private final LongSupplier configVersion;

  ControlDecisionLog(LongSupplier configVersion) {
    this.configVersion = notNull(configVersion, "configVersion");
  }

  @Override
  public void onChange(Member member, Change change) {
    DECISIONS.info(
        "member={} change={} service={}@{} phase={} status={} version={}",
        member.instance(),
        change,
        member.service(),
        member.targetVersion(),
        member.phase(),
        member.status(),
        configVersion.getAsLong());
  }

  @Override
  public void onDecision(MoveDecision decision) {
    DECISIONS.info(
        "move={} decision={} step={} share={} version={} reason={}",
        decision.move(),
        decision.kind(),
        decision.step(),
        decision.share(),
        configVersion.getAsLong(),
        decision.reason());
  }
}
