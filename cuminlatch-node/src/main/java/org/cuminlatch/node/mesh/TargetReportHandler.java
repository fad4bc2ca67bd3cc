package org.cuminlatch.node.mesh;

import java.util.concurrent.CompletionStage;
import org.cuminlatch.core.target.TargetReport;

/** Handles the reports of the local target; called on the control loop. */
public interface TargetReportHandler {

  /**
   * Takes a report.
   *
   * @param report the report
   * @return completes when the report is in effect and may be acknowledged; fails if the target
   *     must repeat it, as the store does not hold the exit yet
   */
  CompletionStage<Void> onReport(TargetReport report);

  /**
   * Handles the deregistration of a target that leaves.
   *
   * @param instance name of the target
   * @param bornMillis start of the target in milliseconds since 1970, 0 if not reported
   * @return completes when this may be acknowledged; fails if the target must repeat it, as the
   *     store does not hold the exit yet
   */
  CompletionStage<Void> onDeregistration(String instance, long bornMillis);
}
