package org.cuminlatch.node.call;

import java.util.concurrent.Semaphore;

/** Limits the number of connections to the target that are in use at the same time. */
final class ConnectionLimit {

  private final Semaphore permits;

  ConnectionLimit(int maxConnections) {
    this.permits = new Semaphore(maxConnections);
  }

  boolean tryAcquire() {
    return permits.tryAcquire();
  }

  void release() {
    permits.release();
  }
}
