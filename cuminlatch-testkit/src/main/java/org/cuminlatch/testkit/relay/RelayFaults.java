package org.cuminlatch.testkit.relay;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/** Faults that are currently injected into a relay. */
final class RelayFaults {

  private volatile double dropShare;
  private volatile Duration delay = Duration.ZERO;
  private volatile boolean blocked;

  void setDropShare(double share) {
    dropShare = share;
  }

  void setDelay(Duration newDelay) {
    delay = newDelay;
  }

  Duration delay() {
    return delay;
  }

  void setBlocked(boolean newBlocked) {
    blocked = newBlocked;
  }

  boolean blocked() {
    return blocked;
  }

  boolean dropsDatagram() {
    return blocked || ThreadLocalRandom.current().nextDouble() < dropShare;
  }
}
