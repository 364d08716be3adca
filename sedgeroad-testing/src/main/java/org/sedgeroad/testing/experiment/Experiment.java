package org.sedgeroad.testing.experiment;

/** An experiment that measures deployments and compares the figures with targets. */
@FunctionalInterface
public interface Experiment {

  /** Runs the experiment, including its baselines. */
  ExperimentResult run(Bench bench);
}
