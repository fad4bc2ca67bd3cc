package org.cuminlatch.node.mesh;

import static org.cuminlatch.core.Preconditions.notBlank;

/**
 * Names of the headers that the node reads and sets.
 *
 * @param requestId name that the caller gave its request
 * @param deadlineMillis time in milliseconds that is left for the request
 * @param expectedInstance target that must execute the request
 * @param originService service beside whose target the request began
 * @param notRun says that the target has not executed the request
 * @param instance target that answers
 */
public record HeaderNames(
    String requestId,
    String deadlineMillis,
    String expectedInstance,
    String originService,
    String notRun,
    String instance) {

  /** Checks the fields. */
  public HeaderNames {
    notBlank(requestId, "requestId");
    notBlank(deadlineMillis, "deadlineMillis");
    notBlank(expectedInstance, "expectedInstance");
    notBlank(originService, "originService");
    notBlank(notRun, "notRun");
    notBlank(instance, "instance");
  }
}
