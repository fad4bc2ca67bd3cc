package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Settings of the membership protocol.
 *
 * @param probeInterval time between two probes
 * @param ackTimeout time after which other instances are asked to probe
 * @param suspicionTimeout time that a suspected instance has to refute
 * @param deadRetention time that a dead or left instance is remembered
 * @param joinBackoff longest first wait between two attempts to reach the seeds; it doubles
 * @param joinBackoffLimit longest wait between two attempts to reach the seeds
 * @param indirectProbes instances that are asked to probe one that did not answer
 * @param delegates ranked members of a zone that probe other zones
 * @param maxUpdateBytes most bytes of updates on one message
 * @param syncInterval shortest time between two comparisons of rosters
 * @param syncBytesPerSecond average rate of bytes that comparisons may send
 */
public record MembershipSettings(
    Duration probeInterval,
    Duration ackTimeout,
    Duration suspicionTimeout,
    Duration deadRetention,
    Duration joinBackoff,
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
    notNull(joinBackoff, "joinBackoff");
    notNull(joinBackoffLimit, "joinBackoffLimit");
    notNull(syncInterval, "syncInterval");
    check(ackTimeout.compareTo(probeInterval) < 0, "ackTimeout", "must be under probeInterval");
    check(indirectProbes >= 0, "indirectProbes", "must not be negative");
    check(delegates >= 1, "delegates", "must be at least 1");
    check(maxUpdateBytes >= 0, "maxUpdateBytes", "must not be negative");
    check(syncBytesPerSecond > 0, "syncBytesPerSecond", "must be positive");
  }

  /**
   * Returns the settings that a mesh of up to 900 members uses.
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
