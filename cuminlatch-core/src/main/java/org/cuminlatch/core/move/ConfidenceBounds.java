package org.cuminlatch.core.move;

import org.apache.commons.math3.distribution.BetaDistribution;

/** Upper confidence bounds on the probability of an event. */
final class ConfidenceBounds {

  private ConfidenceBounds() {}

  /**
   * Returns the exact one-sided upper bound; it is below the true probability with a probability of
   * at most the error rate.
   *
   * <p>Source: Clopper and Pearson, "The use of confidence or fiducial limits illustrated in the
   * case of the binomial", Biometrika 1934.
   */
  static double clopperPearsonUpper(long events, long trials, double errorRate) {
    if (trials == 0 || events >= trials) {
      return 1;
    }
    return new BetaDistribution(null, events + 1.0, (double) trials - events)
        .inverseCumulativeProbability(1 - errorRate);
  }

  /**
   * Returns the upper end of the score interval of the given width in standard deviations.
   *
   * <p>Source: Wilson, "Probable inference, the law of succession, and statistical inference",
   * Journal of the American Statistical Association 1927.
   */
  static double wilsonUpper(long events, long trials, double standardDeviations) {
    if (trials == 0) {
      return 0;
    }
    double rate = (double) events / trials;
    double squaredDeviations = standardDeviations * standardDeviations;
    double centre = rate + squaredDeviations / (2 * trials);
    double halfWidth =
        standardDeviations
            * Math.sqrt((rate * (1 - rate) + squaredDeviations / (4 * trials)) / trials);
    return Math.min(1, (centre + halfWidth) / (1 + squaredDeviations / trials));
  }
}
