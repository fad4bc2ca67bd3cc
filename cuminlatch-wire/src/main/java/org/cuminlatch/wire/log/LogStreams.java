package org.cuminlatch.wire.log;

/** Names of the streams of the platform's log. */
public final class LogStreams {

  /** Configuration records published by operators, and outcomes of moves. */
  public static final String CONFIGURATION = "configuration";

  /** Checkpoints of the configuration. */
  public static final String CHECKPOINTS = "checkpoints";

  /** Announcements of nodes that have not found any other node yet. */
  public static final String RENDEZVOUS = "rendezvous";

  /** Reports of the nodes to the operators. */
  public static final String REPORTS = "reports";

  private LogStreams() {}
}
