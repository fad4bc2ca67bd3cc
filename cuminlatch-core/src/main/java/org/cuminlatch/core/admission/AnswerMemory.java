package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which requests a target may get while its earlier answers wait for callers that read
 * slowly.
 *
 * <p>A target frees its slot once its answer has been received, however long the caller takes to
 * read it. Under a load of large answers to slow callers, the answers that wait would otherwise
 * exhaust the memory of the node. Requests of routes with small answers are not affected, as those
 * never wait. Not thread-safe.
 */
public final class AnswerMemory {

  /** Weight of a new answer in the average size of its route's answers. */
  private static final double NEWEST_WEIGHT = 0.125;

  private final long maxWaitingBytes;
  private final int minLargeBytes;
  private final Map<String, Double> averageSizeByRoute = new HashMap<>();

  /**
   * Creates an instance that knows no answers.
   *
   * @param maxWaitingBytes size of the waiting answers in bytes at which no more large ones are
   *     requested
   * @param minLargeBytes size of a large answer in bytes; smaller ones never wait
   */
  public AnswerMemory(long maxWaitingBytes, int minLargeBytes) {
    this.maxWaitingBytes = notNegative(maxWaitingBytes, "maxWaitingBytes");
    this.minLargeBytes = minLargeBytes;
  }

  /**
   * Records the size of an answer.
   *
   * @param route name of the route
   * @param bytes size of the body in bytes
   */
  public void recordAnswer(String route, int bytes) {
    averageSizeByRoute.merge(
        notNull(route, "route"),
        (double) bytes,
        (average, size) -> average + NEWEST_WEIGHT * (size - average));
  }

  /**
   * Returns whether the answers of a route are large on average.
   *
   * @param route name of the route
   * @return true if they may have to wait for their callers
   */
  public boolean hasLargeAnswers(String route) {
    return averageSizeByRoute.getOrDefault(notNull(route, "route"), 0.0) >= minLargeBytes;
  }

  /**
   * Returns whether the target may get a request.
   *
   * @param route name of the request's route
   * @param waitingBytes size of the answers that wait for their callers in bytes
   * @return false if its answer would probably have to wait, too, and there is no room for it
   */
  public boolean admits(String route, long waitingBytes) {
    return waitingBytes < maxWaitingBytes || !hasLargeAnswers(route);
  }
}
