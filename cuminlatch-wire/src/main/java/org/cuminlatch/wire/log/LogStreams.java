package org.cuminlatch.wire.log;

/** Names of the streams on the platform's log. */
public final class LogStreams {

  /** Configuration records of operators and outcomes of moves. */
  public static final String CONFIGURATION = "configuration";

  /** Checkpoints of the configuration. */
  public static final String CHECKPOINTS = "checkpoints";

  /** Announcements of nodes that know no other node. */
  public static final String RENDEZVOUS = "rendezvous";

  /** Reports of the nodes to the operators. */
  public static final String REPORTS = "reports";

  private LogStreams() {}
}
