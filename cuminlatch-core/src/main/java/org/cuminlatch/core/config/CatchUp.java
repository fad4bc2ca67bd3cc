package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides where an instance that has fallen behind, or has just started, takes the configuration
 * from: peers first, else the latest checkpoint and the records after it.
 */
public final class CatchUp {

  private final Duration peerPatience;
  private Instant since;
  private Source source = Source.PEERS;

  /**
   * Creates the decision of an instance that starts.
   *
   * @param peerPatience how long to wait for a peer's state before the log is asked
   * @param now the time
   */
  public CatchUp(Duration peerPatience, Instant now) {
    this.peerPatience = notNull(peerPatience, "peerPatience");
    this.since = notNull(now, "now");
  }

  /** Where the configuration comes from next. */
  public enum Source {
    /** Peers are asked for their state. */
    PEERS,
    /** The latest checkpoint on the log. */
    CHECKPOINT,
    /** The records on the log after the version held. */
    RECORDS,
    /** The instance has caught up and follows as the spreading of records has it. */
    CAUGHT_UP
  }

  /**
   * Returns where to take the configuration from.
   *
   * @param peers number of peers that are believed to be alive
   * @param now the time
   * @return the source
   */
  public Source source(int peers, Instant now) {
    boolean patient = peers > 0 && now.isBefore(since.plus(peerPatience));
    if (source == Source.PEERS && !patient) {
      source = Source.CHECKPOINT;
    }
    return source;
  }

  /** Takes that a peer has given its state. */
  public void onPeerState() {
    source = Source.CAUGHT_UP;
  }

  /**
   * Takes that the checkpoints have been read, with or without a valid one among them; earlier ones
   * have been tried if the latest was corrupt.
   */
  public void onCheckpointsRead() {
    if (source == Source.CHECKPOINT) {
      source = Source.RECORDS;
    }
  }

  /** Takes that the records have been read to the end of the log. */
  public void onLogEnd() {
    if (source == Source.RECORDS) {
      source = Source.CAUGHT_UP;
    }
  }

  /**
   * Takes that the log no longer retains the record after the version held: only a peer or a
   * checkpoint can help then.
   *
   * @param now the time
   */
  public void onTruncated(Instant now) {
    since = notNull(now, "now");
    source = Source.PEERS;
  }
}
