package org.cuminlatch.node.call;

import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Bounded threads for the calls of callers.
 *
 * <p>A request that finds no free thread is handed to one more thread, which refuses it.
 */
final class EntryExecutor implements Executor {

  private static final int IDLE_SECONDS = 30;
  private static final ThreadLocal<Boolean> SURPLUS = ThreadLocal.withInitial(() -> false);

  private final ThreadPoolExecutor refusing;
  private final ThreadPoolExecutor calls;

  EntryExecutor(int threads) {
    this.refusing =
        new ThreadPoolExecutor(1, 1, IDLE_SECONDS, TimeUnit.SECONDS, new LinkedBlockingQueue<>());
    this.refusing.allowCoreThreadTimeOut(true);
    this.calls =
        new ThreadPoolExecutor(
            0,
            threads,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            (task, pool) -> refuse(task));
  }

  /** Returns whether the request on this thread found no free one. */
  static boolean isSurplus() {
    return SURPLUS.get();
  }

  @Override
  public void execute(Runnable task) {
    calls.execute(task);
  }

  private void refuse(Runnable task) {
    refusing.execute(
        () -> {
          SURPLUS.set(true);
          task.run();
        });
  }

  void close() {
    calls.shutdownNow();
    refusing.shutdownNow();
  }
}
