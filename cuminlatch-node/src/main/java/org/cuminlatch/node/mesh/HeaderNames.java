package org.cuminlatch.node.mesh;

import static org.cuminlatch.core.Preconditions.notBlank;

/**
 * Names of the headers that the node reads and sets.
 *
 * @param requestId identifier that the caller gave its request
 * @param deadlineMillis time left for the request, in milliseconds
 * @param expectedInstance target that must execute the request
 * @param originService service of the node at which the request entered the mesh
 * @param notRun present if the target has not executed the request
 * @param instance target that answered
 * @param requestLimit requests per second that the target accepts from all nodes together
 * @param leaving 1 if the target leaves and must get no further requests
 * @param account name of the client account that sent the request
 * @param coldLeftMillis remaining time for which the target is cold, in milliseconds; in answers to
 *     health checks
 */
public record HeaderNames(
    String requestId,
    String deadlineMillis,
    String expectedInstance,
    String originService,
    String notRun,
    String instance,
    String requestLimit,
    String leaving,
    String account,
    String coldLeftMillis) {

  /** Checks the fields. */
  public HeaderNames {
    notBlank(requestId, "requestId");
    notBlank(deadlineMillis, "deadlineMillis");
    notBlank(expectedInstance, "expectedInstance");
    notBlank(originService, "originService");
    notBlank(notRun, "notRun");
    notBlank(instance, "instance");
    notBlank(requestLimit, "requestLimit");
    notBlank(leaving, "leaving");
    notBlank(account, "account");
    notBlank(coldLeftMillis, "coldLeftMillis");
  }
}
