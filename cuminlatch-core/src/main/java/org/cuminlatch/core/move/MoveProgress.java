package org.cuminlatch.core.move;

/**
 * How far an open move has come, as one node sees it.
 *
 * @param move name of the move
 * @param service service that it moves
 * @param step index of the step in force, -1 before the first
 * @param steps number of steps
 * @param share share of the new version on this node
 * @param highestShare largest share that the new version was ever given
 * @param reason why the move stands where it stands
 * @param figures the evidence in one line
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
