package org.cuminlatch.bench;

/** A measurement that the bench can run; the same options produce the same workload. */
public interface Experiment {

  /**
   * Returns the name that selects the experiment on the command line.
   *
   * @return lower-case words joined by hyphens
   */
  String name();

  /**
   * Returns a one-line description of what is measured.
   *
   * @return the description
   */
  String summary();

  /**
   * Runs the experiment.
   *
   * @param options seed and parameters of the run
   * @return the results
   */
  Results run(ExperimentOptions options);
}
