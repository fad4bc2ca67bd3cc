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
 * The single thread that all control state of a node is confined to.
 *
 * <p>The failure of a task is logged and does not affect later tasks.
 */
public final class ControlThread implements Executor, AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(ControlThread.class);
  private static final long STOP_TIMEOUT_SECONDS = 2;

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
      executor.execute(() -> runAndLogFailure(task));
    } catch (RejectedExecutionException stopped) {
      LOG.debug("rejected a task because the control thread has stopped");
    }
  }

  /**
   * Runs a task periodically on the thread, for the first time after the delay.
   *
   * @param delay time between the end of one run and the start of the next
   * @param task the task
   */
  public void scheduleWithFixedDelay(Duration delay, Runnable task) {
    long millis = delay.toMillis();
    executor.scheduleWithFixedDelay(
        () -> runAndLogFailure(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the CPU time that the thread has used.
   *
   * @return the time, or zero if the Java platform does not measure it
   */
  public Duration cpuTime() {
    long nanos = ManagementFactory.getThreadMXBean().getThreadCpuTime(threadId.get());
    return Duration.ofNanos(Math.max(nanos, 0));
  }

  @Override
  public void close() {
    executor.shutdown();
    try {
      if (!executor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        executor.shutdownNow();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException failure) {
      LOG.error("a task of the control thread failed", failure);
    }
  }
}
