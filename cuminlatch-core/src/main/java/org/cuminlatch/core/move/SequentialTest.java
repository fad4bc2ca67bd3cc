package org.cuminlatch.core.move;

/**
 * Sequential test of whether an event has become more probable than a bound that may differ from
 * look to look.
 *
 * <p>The statistic is a weighted sum, over the looks at which the change may have begun and over
 * alternatives, of likelihood ratios. While the probability stays within the bounds it is a
 * non-negative supermartingale that starts at no more than the sum of the weights; by Ville's
 * inequality it ever reaches {@code 1/a} with a probability of at most {@code a} when the weights
 * sum to 1 or less. The sum over beginnings is kept by the recursion of Shiryaev and Roberts.
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
   * @param excesses alternatives, each the part of the way from the bound to certainty
   */
  SequentialTest(double... alternatives) {
    this.alternatives = alternatives.clone();
    this.logSums = new double[alternatives.length];
    java.util.Arrays.fill(logSums, Double.NEGATIVE_INFINITY);
  }

  /** Lets a change begin at the next look with a weight. */
  void addChangePoint(double weight) {
    for (int i = 0; i < logSums.length; i++) {
      logSums[i] = logAdd(logSums[i], Math.log(weight));
    }
  }

  /** Takes the events and trials of one look together with the bound that holds for it. */
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
