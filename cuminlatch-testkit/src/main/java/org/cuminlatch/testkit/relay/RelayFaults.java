package org.cuminlatch.testkit.relay;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/** Faults that a relay shows at present. */
final class RelayFaults {

  private volatile double dropShare;
  private volatile Duration delay = Duration.ZERO;
  private volatile boolean blocked;

  void dropShare(double share) {
    dropShare = share;
  }

  void delay(Duration newDelay) {
    delay = newDelay;
  }

  Duration delay() {
    return delay;
  }

  void blocked(boolean newBlocked) {
    blocked = newBlocked;
  }

  boolean blocked() {
    return blocked;
  }

  boolean losesDatagram() {
    return blocked || ThreadLocalRandom.current().nextDouble() < dropShare;
  }
}
