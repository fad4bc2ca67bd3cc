package org.cuminlatch.node.call;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.net.InetSocketAddress;
import java.net.URI;

/**
 * Fixed settings of a call path.
 *
 * @param callerAddress where callers connect by HTTP; port 0 takes any
 * @param forwardAddress where other nodes connect; port 0 takes any
 * @param target base URI of the target beside the node, without a path
 * @param slots requests that the target takes at a time
 * @param connectionLimit connections that the target takes at most
 * @param callerThreads calls that the node carries for callers at a time
 * @param linkBytesPerSecond bytes that the node may send and receive across the link between the
 *     regions
 */
public record CallPathSettings(
    InetSocketAddress callerAddress,
    InetSocketAddress forwardAddress,
    URI target,
    int slots,
    int connectionLimit,
    int callerThreads,
    long linkBytesPerSecond) {

  /** Connections that a target takes at most. */
  public static final int CONNECTION_LIMIT = 130;

  /** Calls that a node carries for callers at a time where nothing else is set. */
  public static final int CALLER_THREADS = 128;

  /** Bytes per second across the link where nothing else is set. */
  public static final long LINK_BYTES_PER_SECOND = 100_000;

  /** Checks the fields. */
  public CallPathSettings {
    notNull(callerAddress, "callerAddress");
    notNull(forwardAddress, "forwardAddress");
    notNull(target, "target");
    check(slots >= 1, "slots", "must be at least 1");
    check(connectionLimit > slots, "connectionLimit", "must be above slots");
    check(callerThreads >= 1, "callerThreads", "must be at least 1");
    notNegative(linkBytesPerSecond, "linkBytesPerSecond");
  }

  /**
   * Creates settings with the usual limits.
   *
   * @param callerAddress where callers connect by HTTP
   * @param forwardAddress where other nodes connect
   * @param target base URI of the target
   * @param slots requests that the target takes at a time
   * @return the settings
   */
  public static CallPathSettings of(
      InetSocketAddress callerAddress, InetSocketAddress forwardAddress, URI target, int slots) {
    return new CallPathSettings(
        callerAddress,
        forwardAddress,
        target,
        slots,
        CONNECTION_LIMIT,
        CALLER_THREADS,
        LINK_BYTES_PER_SECOND);
  }
}
