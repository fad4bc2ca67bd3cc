package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.membership.Locality;

/** Messages by which nodes exchange evidence, steps and rollbacks. */
public sealed interface EvidenceMessage extends ControlMessage {

  /**
   * Evidence of one node, sent to the aggregator of its zone.
   *
   * @param instance the sender
   * @param locality where the sender stands
   * @param epoch number of the sender's run; counts of different epochs add up
   * @param sequence number of the report within the epoch, echoed by grants
   * @param moves evidence by move
   * @param rollbacks rollbacks that the sender knows of and the receiver may not
   */
  record NodeReport(
      String instance,
      Locality locality,
      long epoch,
      long sequence,
      List<MoveEvidence> moves,
      List<Rollback> rollbacks)
      implements EvidenceMessage {

    /** Checks the fields and copies the lists. */
    public NodeReport {
      notBlank(instance, "instance");
      notNull(locality, "locality");
      notNegative(sequence, "sequence");
      moves = List.copyOf(notNull(moves, "moves"));
      rollbacks = List.copyOf(notNull(rollbacks, "rollbacks"));
    }
  }

  /**
   * Summed evidence of a zone, sent between the aggregators of a move.
   *
   * @param instance the sender
   * @param epoch number of the sender's run
   * @param sequence number of the report within the epoch; a receiver ignores older ones
   * @param locality the zone
   * @param move the zone's sums, as far as the sender has been told; the step is the highest that
   *     all nodes of the zone have reached
   * @param rollbacks rollbacks that the sender knows of
   */
  record ZoneReport(
      String instance,
      long epoch,
      long sequence,
      Locality locality,
      MoveEvidence move,
      List<Rollback> rollbacks)
      implements EvidenceMessage {

    /** Checks the fields and copies the list. */
    public ZoneReport {
      notBlank(instance, "instance");
      notNull(locality, "locality");
      notNull(move, "move");
      rollbacks = List.copyOf(notNull(rollbacks, "rollbacks"));
    }
  }

  /**
   * Lease on a step, sent by a zone's aggregator in answer to a node's report.
   *
   * @param move identity of the move
   * @param step highest step that the receiver's region may use
   * @param shareCap largest share that the new version's ready slots can take
   * @param highestShare largest share given anywhere, as far as the sender knows
   * @param echoedEpoch epoch of the report that is answered
   * @param echoedSequence sequence of the report that is answered
   */
  record StepGrant(
      MoveId move,
      int step,
      double shareCap,
      double highestShare,
      long echoedEpoch,
      long echoedSequence)
      implements EvidenceMessage {

    /** Checks the fields. */
    public StepGrant {
      notNull(move, "move");
      inRange(shareCap, 0, 1, "shareCap");
      inRange(highestShare, 0, 1, "highestShare");
      notNegative(echoedSequence, "echoedSequence");
    }
  }

  /**
   * News of rollbacks.
   *
   * @param rollbacks the rollbacks
   */
  record RollbackNotice(List<Rollback> rollbacks) implements EvidenceMessage {

    /** Copies the list. */
    public RollbackNotice {
      rollbacks = List.copyOf(notNull(rollbacks, "rollbacks"));
    }
  }
}
