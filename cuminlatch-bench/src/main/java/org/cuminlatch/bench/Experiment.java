package org.cuminlatch.bench;

/** One load or measurement that the bench can run; the same options give the same workload. */
public interface Experiment {

  /**
   * Returns the name of the subcommand.
   *
   * @return lower-case words joined by hyphens
   */
  String name();

  /**
   * Returns one line that says what is measured.
   *
   * @return the line
   */
  String summary();

  /**
   * Runs the experiment.
   *
   * @param options seed, scale and profile
   * @return the figures
   */
  Results run(ExperimentOptions options);
}
