package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.membership.Locality;

/** Message with which nodes exchange the evidence, steps and rollbacks of moves. */
public sealed interface EvidenceMessage extends ControlMessage {

  /**
   * Evidence of one node, sent to the aggregator of its zone.
   *
   * @param instance instance of the sending node
   * @param locality region and zone of the sender
   * @param epoch number of the sender's process run; counts of different epochs are summed
   * @param sequence number of the report within the epoch, echoed by grants
   * @param moves evidence by move
   * @param rollbacks rollbacks that the sender holds and the receiver may lack
   */
  record NodeReport(
      String instance,
      Locality locality,
      long epoch,
      long sequence,
      List<MoveEvidence> moves,
      List<Rollback> rollbacks)
      implements EvidenceMessage {

    /** Validates the components and copies the lists. */
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
   * @param instance instance of the sending node
   * @param epoch number of the sender's process run
   * @param sequence number of the report within the epoch; a receiver ignores older ones
   * @param locality the zone
   * @param move sums of the reports that the sender has received from the zone; the step is the
   *     highest that all nodes of the zone have reached
   * @param rollbacks rollbacks of the move that the sender holds
   */
  record ZoneReport(
      String instance,
      long epoch,
      long sequence,
      Locality locality,
      MoveEvidence move,
      List<Rollback> rollbacks)
      implements EvidenceMessage {

    /** Validates the components and copies the list. */
    public ZoneReport {
      notBlank(instance, "instance");
      notNull(locality, "locality");
      notNull(move, "move");
      rollbacks = List.copyOf(notNull(rollbacks, "rollbacks"));
    }
  }

  /**
   * Lease on a step, sent by a zone's aggregator in response to a node's report.
   *
   * @param move identity of the move
   * @param step highest step that the receiver's region may use
   * @param shareCap largest share that the new version's ready slots can take
   * @param highestShare largest share that the new version has had on any node, as known to the
   *     sender
   * @param echoedEpoch epoch of the report that the grant responds to
   * @param echoedSequence sequence of the report that the grant responds to
   */
  record StepGrant(
      MoveId move,
      int step,
      double shareCap,
      double highestShare,
      long echoedEpoch,
      long echoedSequence)
      implements EvidenceMessage {

    /** Validates the components. */
    public StepGrant {
      notNull(move, "move");
      inRange(shareCap, 0, 1, "shareCap");
      inRange(highestShare, 0, 1, "highestShare");
      notNegative(echoedSequence, "echoedSequence");
    }
  }

  /**
   * Notification of rollbacks that the receiver may not hold yet.
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
