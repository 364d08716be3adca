package org.sedgeroad.placement;

/** Moving averages of the times of live requests of one service. Used on the event loop. */
final class RunTimeAverage {
  /** Weight of a new value: the averages follow the last twenty requests or so. */
  private static final double WEIGHT = 0.05;

  /** Quantile of the times to the first event; later ones include a wait inside the endpoint. */
  private static final double QUANTILE = 0.25;

  private double firstEventMillis = RunTimes.UNKNOWN.firstEventMillis();
  private double slotMillis = RunTimes.UNKNOWN.slotMillis();

  /** Adds a time to the first event, at median speed, in milliseconds. */
  void addFirstEvent(double millis) {
    firstEventMillis *= 1 + WEIGHT * (millis < firstEventMillis ? QUANTILE - 1 : QUANTILE);
  }

  /** Adds the time of a whole run, at median speed, in milliseconds. */
  void addRun(double millis) {
    slotMillis += WEIGHT * (millis - slotMillis);
  }

  RunTimes times() {
    return new RunTimes(firstEventMillis, slotMillis);
  }
}
