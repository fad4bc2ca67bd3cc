package org.cuminlatch.core.spread;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.control.ControlMessage;

/** Message that distributes the records of the log. */
public sealed interface SpreadMessage extends ControlMessage {

  /**
   * Heartbeat of the reader of a region, forwarded down the tree.
   *
   * @param reader name of the instance that reads the log
   * @param round number that the reader increments with each heartbeat
   * @param version configuration version of the sender
   * @param logReadable whether the reader can read the log
   * @param inForce number of members that have the version in force, as counted by the reader
   */
  record Heartbeat(String reader, long round, long version, boolean logReadable, InForce inForce)
      implements SpreadMessage {

    /** Checks the fields. */
    public Heartbeat {
      notBlank(reader, "reader");
      notNegative(round, "round");
      notNegative(version, "version");
      notNull(inForce, "inForce");
    }
  }

  /**
   * Consecutive records of the log.
   *
   * @param version configuration version of the sender
   * @param records the records
   * @param pushed true if they are pushed down the tree, false if they answer a pull
   */
  record Records(long version, List<LogRecord> records, boolean pushed) implements SpreadMessage {

    /** Checks the fields and copies the records. */
    public Records {
      notNegative(version, "version");
      records = List.copyOf(records);
    }
  }

  /**
   * Requests records.
   *
   * @param from first offset to return
   */
  record Pull(long from) implements SpreadMessage {

    /** Checks the field. */
    public Pull {
      notNegative(from, "from");
    }
  }

  /**
   * Reports to the parent in the tree which versions the sender's subtree has in force.
   *
   * @param instance the sender
   * @param counts number of members for each version and hash
   */
  record Progress(String instance, List<VersionCount> counts) implements SpreadMessage {

    /** Checks the fields and copies the counts. */
    public Progress {
      notBlank(instance, "instance");
      counts = List.copyOf(counts);
    }
  }

  /**
   * Number of members that have a version with a state hash in force.
   *
   * @param version configuration version
   * @param stateHash abbreviated hash of the state
   * @param count number of members
   */
  record VersionCount(long version, String stateHash, int count) {

    /** Checks the fields. */
    public VersionCount {
      notNegative(version, "version");
      notNull(stateHash, "stateHash");
      notNegative(count, "count");
    }
  }

  /**
   * Carries a checkpoint to a peer that requested records that are no longer retained.
   *
   * @param version version of the checkpoint
   * @param content the encoded checkpoint
   */
  record Checkpoint(long version, Bytes content) implements SpreadMessage {

    /** Checks the fields. */
    public Checkpoint {
      notNegative(version, "version");
      notNull(content, "content");
    }
  }
}
