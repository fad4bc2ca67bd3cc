package org.cuminlatch.node.mesh;

import java.util.concurrent.CompletionStage;
import org.cuminlatch.core.target.TargetReport;

/** Takes what the target beside the node says of itself; called on the control loop. */
public interface TargetReports {

  /**
   * Takes a report.
   *
   * @param report the report
   * @return completes when the report may be acknowledged: what it says holds from then on
   */
  CompletionStage<Void> report(TargetReport report);

  /**
   * Takes the target's word that it is gone.
   *
   * @param instance name of the target
   * @param bornMillis its start, 0 if it names none
   * @return completes when this may be acknowledged
   */
  CompletionStage<Void> deregister(String instance, long bornMillis);
}
