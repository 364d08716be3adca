package org.sedgeroad.placement;

/** A batch item with the time for which it still needs an engine of median speed. */
final class SimulatedItem {
  final double submittedMillis;
  final double totalMillis;
  double remainingMillis;
  boolean running;

  SimulatedItem(double submittedMillis, double totalMillis) {
    this.submittedMillis = submittedMillis;
    this.totalMillis = totalMillis;
    this.remainingMillis = totalMillis;
  }

  /** A run of an item at an engine. */
  record Run(SimulatedItem item, SimulatedEngine.Work work) {}
}
