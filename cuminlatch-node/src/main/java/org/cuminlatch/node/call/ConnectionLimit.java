package org.cuminlatch.node.call;

import java.util.concurrent.Semaphore;

/** Connections to the target that may be in use at a time. */
final class ConnectionLimit {

  private final Semaphore free;

  ConnectionLimit(int most) {
    this.free = new Semaphore(most);
  }

  boolean tryAcquire() {
    return free.tryAcquire();
  }

  void release() {
    free.release();
  }
}
