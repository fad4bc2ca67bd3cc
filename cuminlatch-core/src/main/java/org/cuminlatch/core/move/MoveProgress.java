package org.cuminlatch.core.move;

/**
 * Progress of an open move on one node.
 *
 * @param move name of the move
 * @param service service whose traffic is moved
 * @param step index of the step in force, -1 before the first
 * @param steps number of steps
 * @param share share of the new version on this node
 * @param highestShare largest share that the new version has had on any node, as known to this one
 * @param reason latest reason for a step, a hold or a rollback
 * @param figures evidence in one line; empty if this node does not aggregate the move
 * @param closed whether this node has ended its soak
 * @param rolledBack whether the move is rolled back
 */
public record MoveProgress(
    String move,
    String service,
    int step,
    int steps,
    double share,
    double highestShare,
    String reason,
    String figures,
    boolean closed,
    boolean rolledBack) {}
