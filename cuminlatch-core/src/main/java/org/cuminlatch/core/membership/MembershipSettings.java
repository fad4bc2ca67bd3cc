package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Settings of the membership protocol.
 *
 * @param probeInterval time between two rounds of probes
 * @param ackTimeout time without an acknowledgement after which indirect probes are sent
 * @param suspicionTimeout time that a suspected instance has to refute the suspicion
 * @param deadRetention time that an instance stays on the roster after it died or left
 * @param joinBackoffBase maximum first delay between two attempts to reach a seed; it doubles
 * @param joinBackoffLimit maximum delay between two attempts to reach a seed
 * @param indirectProbes number of members that are asked to probe one that did not answer
 * @param delegates number of members of a zone that probe other zones
 * @param maxUpdateBytes maximum number of bytes of updates in one message
 * @param syncInterval minimum time between two synchronizations of rosters
 * @param syncBytesPerSecond average rate of bytes that synchronizations may send
 */
public record MembershipSettings(
    Duration probeInterval,
    Duration ackTimeout,
    Duration suspicionTimeout,
    Duration deadRetention,
    Duration joinBackoffBase,
    Duration joinBackoffLimit,
    int indirectProbes,
    int delegates,
    int maxUpdateBytes,
    Duration syncInterval,
    int syncBytesPerSecond) {

  /** Checks the fields. */
  public MembershipSettings {
    notNull(probeInterval, "probeInterval");
    notNull(ackTimeout, "ackTimeout");
    notNull(suspicionTimeout, "suspicionTimeout");
    notNull(deadRetention, "deadRetention");
    notNull(joinBackoffBase, "joinBackoffBase");
    notNull(joinBackoffLimit, "joinBackoffLimit");
    notNull(syncInterval, "syncInterval");
    check(ackTimeout.compareTo(probeInterval) < 0, "ackTimeout", "must be less than probeInterval");
    check(indirectProbes >= 0, "indirectProbes", "must not be negative");
    check(delegates >= 1, "delegates", "must be at least 1");
    check(maxUpdateBytes >= 0, "maxUpdateBytes", "must not be negative");
    check(syncBytesPerSecond > 0, "syncBytesPerSecond", "must be positive");
  }

  /**
   * Returns the default settings, which suit a mesh of up to 900 members.
   *
   * @return the defaults
   */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        Duration.ofSeconds(1),
        Duration.ofMillis(300),
        Duration.ofSeconds(4),
        Duration.ofHours(2),
        Duration.ofSeconds(1),
        Duration.ofSeconds(15),
        3,
        3,
        360,
        Duration.ofSeconds(2),
        2_000);
  }
}
