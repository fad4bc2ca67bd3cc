package org.cuminlatch.node.control;

import static org.cuminlatch.core.Preconditions.notNull;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The one thread that owns all control state of a node.
 *
 * <p>A task that fails is logged and does not stop the ones after it.
 */
public final class ControlThread implements Executor, AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(ControlThread.class);
  private static final long STOP_SECONDS = 2;

  private final ScheduledExecutorService executor;
  private final AtomicLong threadId;

  private ControlThread(ScheduledExecutorService executor, AtomicLong threadId) {
    this.executor = executor;
    this.threadId = threadId;
  }

  /**
   * Starts the thread.
   *
   * @return the running thread
   */
  public static ControlThread start() {
    AtomicLong threadId = new AtomicLong();
    ScheduledExecutorService executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "control");
              threadId.set(thread.getId());
              return thread;
            });
    return new ControlThread(executor, threadId);
  }

  @Override
  public void execute(Runnable task) {
    notNull(task, "task");
    try {
      executor.execute(() -> runLogged(task));
    } catch (RejectedExecutionException stopped) {
      LOG.debug("a task came after the control thread had stopped");
    }
  }

  /**
   * Runs a task on the thread again and again.
   *
   * @param period time between the ends and the starts of the runs
   * @param task the task
   */
  public void every(Duration period, Runnable task) {
    long millis = period.toMillis();
    executor.scheduleWithFixedDelay(() -> runLogged(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the processor time that the thread has used.
   *
   * @return the time, zero where the platform does not measure it
   */
  public Duration cpuTime() {
    long nanos = ManagementFactory.getThreadMXBean().getThreadCpuTime(threadId.get());
    return Duration.ofNanos(Math.max(nanos, 0));
  }

  @Override
  public void close() {
    executor.shutdown();
    try {
      if (!executor.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)) {
        executor.shutdownNow();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException failure) {
      LOG.error("a control task failed", failure);
    }
  }
}
