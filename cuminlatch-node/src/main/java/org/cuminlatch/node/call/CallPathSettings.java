package org.cuminlatch.node.call;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.net.InetSocketAddress;
import java.net.URI;

/**
 * Fixed settings of a call path.
 *
 * @param callerAddress address to accept callers' HTTP connections on; port 0 selects a free port
 * @param forwardAddress address to accept other nodes' connections on; port 0 selects a free port
 * @param target base URI of the local target, without a path
 * @param slots number of requests that the target processes concurrently
 * @param maxTargetConnections maximum number of connections to the target
 * @param maxCallerThreads maximum number of concurrent calls of callers
 * @param linkBytesPerSecond bytes per second that the node may send and receive in total across the
 *     link between the regions
 */
public record CallPathSettings(
    InetSocketAddress callerAddress,
    InetSocketAddress forwardAddress,
    URI target,
    int slots,
    int maxTargetConnections,
    int maxCallerThreads,
    long linkBytesPerSecond) {

  /** Default of the maximum number of connections to a target. */
  public static final int DEFAULT_MAX_TARGET_CONNECTIONS = 130;

  /** Default of the maximum number of concurrent calls of callers. */
  public static final int DEFAULT_MAX_CALLER_THREADS = 128;

  /** Default of the bytes per second across the link between the regions. */
  public static final long DEFAULT_LINK_BYTES_PER_SECOND = 100_000;

  /** Validates the components. */
  public CallPathSettings {
    notNull(callerAddress, "callerAddress");
    notNull(forwardAddress, "forwardAddress");
    notNull(target, "target");
    check(slots >= 1, "slots", "must be at least 1");
    check(maxTargetConnections > slots, "maxTargetConnections", "must be greater than slots");
    check(maxCallerThreads >= 1, "maxCallerThreads", "must be at least 1");
    notNegative(linkBytesPerSecond, "linkBytesPerSecond");
  }

  /**
   * Creates settings with the default limits.
   *
   * @param callerAddress address to accept callers' HTTP connections on
   * @param forwardAddress address to accept other nodes' connections on
   * @param target base URI of the target
   * @param slots number of requests that the target processes concurrently
   * @return the settings
   */
  public static CallPathSettings of(
      InetSocketAddress callerAddress, InetSocketAddress forwardAddress, URI target, int slots) {
    return new CallPathSettings(
        callerAddress,
        forwardAddress,
        target,
        slots,
        DEFAULT_MAX_TARGET_CONNECTIONS,
        DEFAULT_MAX_CALLER_THREADS,
        DEFAULT_LINK_BYTES_PER_SECOND);
  }
}
