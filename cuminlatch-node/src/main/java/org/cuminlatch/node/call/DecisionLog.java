package org.cuminlatch.node.call;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.route.RoutingDecision;

/** Logs each routing decision and each retry decision to the logger {@code decisions}. */
final class DecisionLog {

  private static final Logger DECISIONS = LogManager.getLogger("decisions");
  private static final String NONE = "-";

  private DecisionLog() {}

  static void logRouting(RoutingDecision decision, AttemptId attempt, int number) {
    if (DECISIONS.isInfoEnabled()) {
      DECISIONS.info(
          "route={} version={} target={} reason={} config={} attempt={} number={}",
          decision.route().isPresent() ? decision.route().get().name() : NONE,
          decision.version().orElse(NONE),
          decision.target().isPresent() ? decision.target().get().instance() : NONE,
          decision.reason(),
          decision.configVersion(),
          attempt,
          number);
    }
  }

  static void logRetry(AttemptId attempt, AttemptResult result, Object decision, Member target) {
    if (DECISIONS.isInfoEnabled()) {
      DECISIONS.info(
          "attempt={} target={} outcome={} why={} retry={}",
          attempt,
          target.instance(),
          result.outcome(),
          result.reason(),
          decision);
    }
  }
}
