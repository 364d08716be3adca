package org.sedgeroad.testing.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Static methods that generate arrival times, in nanoseconds from the start of a load. */
public final class Arrivals {
  private static final double NANOS = 1e9;

  private Arrivals() {}

  /**
   * Returns the arrivals of a Poisson process in ascending order; the same arguments give the same
   * times.
   *
   * @param seed seed of the random gaps between arrivals
   * @param perSecond mean number of arrivals per second
   * @param seconds time after which there are no arrivals, in seconds
   */
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
   * Returns the arrivals of bursts that start at a fixed interval, in ascending order.
   *
   * @param seed seed of the random times within a burst
   * @param bursts number of bursts, the first at 0
   * @param size number of arrivals in a burst
   * @param spreadMillis length of a burst in milliseconds
   * @param intervalSeconds time from the start of one burst to that of the next, in seconds
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
