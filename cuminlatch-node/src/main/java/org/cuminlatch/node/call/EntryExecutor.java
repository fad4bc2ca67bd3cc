package org.cuminlatch.node.call;

import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs the calls of callers on a limited number of threads.
 *
 * <p>A request beyond the limit runs on one additional thread, where {@link #exceedsThreadLimit()}
 * is true and the request is to be refused.
 */
final class EntryExecutor implements Executor {

  private static final int IDLE_THREAD_TIMEOUT_SECONDS = 30;
  private static final ThreadLocal<Boolean> EXCEEDS_THREAD_LIMIT =
      ThreadLocal.withInitial(() -> false);

  private final ThreadPoolExecutor refusalPool;
  private final ThreadPoolExecutor callPool;

  EntryExecutor(int maxThreads) {
    this.refusalPool =
        new ThreadPoolExecutor(
            1, 1, IDLE_THREAD_TIMEOUT_SECONDS, TimeUnit.SECONDS, new LinkedBlockingQueue<>());
    this.refusalPool.allowCoreThreadTimeOut(true);
    this.callPool =
        new ThreadPoolExecutor(
            0,
            maxThreads,
            IDLE_THREAD_TIMEOUT_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            (task, pool) -> executeForRefusal(task));
  }

  /** Returns whether the request on this thread is beyond the limit and must be refused. */
  static boolean exceedsThreadLimit() {
    return EXCEEDS_THREAD_LIMIT.get();
  }

  @Override
  public void execute(Runnable task) {
    callPool.execute(task);
  }

  private void executeForRefusal(Runnable task) {
    refusalPool.execute(
        () -> {
          EXCEEDS_THREAD_LIMIT.set(true);
          task.run();
        });
  }

  void close() {
    callPool.shutdownNow();
    refusalPool.shutdownNow();
  }
}
