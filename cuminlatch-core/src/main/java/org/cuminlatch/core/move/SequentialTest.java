package org.cuminlatch.core.move;

/**
 * Sequential test of whether the probability of an event exceeds a bound, where the bound may
 * differ between updates.
 *
 * <p>The statistic is a weighted sum of likelihood ratios over possible change points and over
 * alternatives. While the probability stays within the bounds it is a non-negative supermartingale
 * that starts at no more than the sum of the weights; by Ville's inequality it ever reaches {@code
 * 1/a} with a probability of at most {@code a} when the weights sum to 1 or less. The sum over
 * change points is maintained by the recursion of Shiryaev and Roberts.
 *
 * <p>Sources: Robbins, "Statistical methods related to the law of the iterated logarithm", 1970
 * (mixture sequential probability ratio test); Shin, Ramdas and Rinaldo, "E-detectors", 2023.
 */
final class SequentialTest {

  private static final double MAX_BOUND = 0.95;

  private final double[] alternatives;
  private final double[] logSums;

  /**
   * Creates a test.
   *
   * @param alternatives alternative probabilities, each as a fraction of the distance from the
   *     bound to 1
   */
  SequentialTest(double... alternatives) {
    this.alternatives = alternatives.clone();
    this.logSums = new double[alternatives.length];
    java.util.Arrays.fill(logSums, Double.NEGATIVE_INFINITY);
  }

  /** Adds a possible change point before the next update, with its weight. */
  void addChangePoint(double weight) {
    for (int i = 0; i < logSums.length; i++) {
      logSums[i] = logAdd(logSums[i], Math.log(weight));
    }
  }

  /** Takes new events and trials and the bound on the probability that applies to them. */
  void update(long events, long trials, double bound) {
    if (trials == 0 || bound >= MAX_BOUND) {
      return;
    }
    for (int i = 0; i < logSums.length; i++) {
      double alternativeRate = bound + (1 - bound) * alternatives[i];
      logSums[i] +=
          events * Math.log(alternativeRate / bound)
              + (trials - events) * Math.log((1 - alternativeRate) / (1 - bound));
    }
  }

  /** Returns the natural logarithm of the statistic. */
  double logValue() {
    double sum = Double.NEGATIVE_INFINITY;
    for (double logSum : logSums) {
      sum = logAdd(sum, logSum);
    }
    return sum - Math.log(logSums.length);
  }

  private static double logAdd(double first, double second) {
    double larger = Math.max(first, second);
    if (larger == Double.NEGATIVE_INFINITY) {
      return larger;
    }
    return larger + Math.log1p(Math.exp(Math.min(first, second) - larger));
  }
}
