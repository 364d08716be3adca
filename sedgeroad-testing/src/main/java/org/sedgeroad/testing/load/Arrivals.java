package org.sedgeroad.testing.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Static methods that return arrival times, in nanoseconds from the start of a load. */
public final class Arrivals {
  private static final double NANOS = 1e9;

  private Arrivals() {}

  /** Returns the arrivals of a Poisson process, ascending; the same seed gives the same times. */
  public static List<Long> poisson(long seed, double perSecond, double seconds) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Long> times = new ArrayList<>();
    double next = gap(random, perSecond);
    while (next < seconds) {
      times.add((long) (next * NANOS));
      next += gap(random, perSecond);
    }
    return times;
  }

  /**
   * Returns bursts that follow each other at a fixed interval, ascending.
   *
   * @param seed seed of the times within a burst
   * @param bursts number of bursts, the first at 0
   * @param size arrivals of a burst
   * @param spreadMillis length of a burst in milliseconds
   * @param intervalSeconds time from one burst to the next
   */
  public static List<Long> bursts(
      long seed, int bursts, int size, double spreadMillis, double intervalSeconds) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Long> times = new ArrayList<>();
    for (int burst = 0; burst < bursts; burst++) {
      for (int index = 0; index < size; index++) {
        double seconds = burst * intervalSeconds + random.nextDouble() * spreadMillis / 1_000;
        times.add((long) (seconds * NANOS));
      }
    }
    times.sort(null);
    return times;
  }

  private static double gap(SplittableRandom random, double perSecond) {
    return -Math.log(1 - random.nextDouble()) / perSecond;
  }
}
