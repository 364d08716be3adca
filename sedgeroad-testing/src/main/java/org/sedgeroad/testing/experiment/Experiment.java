package org.sedgeroad.testing.experiment;

/** Measures deployments and compares the figures with the targets. */
@FunctionalInterface
public interface Experiment {

  /** Runs the experiment with its baselines. */
  ExperimentResult run(Bench bench);
}
