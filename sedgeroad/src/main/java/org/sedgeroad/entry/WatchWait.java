package org.sedgeroad.entry;

/**
 * Decides for how long a watch may stay without an answer.
 *
 * <p>Watches may miss a change: their connections may stop delivering anything, or the store may
 * drop its history while they wait. The first instance whose wait ends receives the change, and the
 * others learn of it from the load exchange ({@link LagDetector}). The more instances there are,
 * the longer each may therefore wait. The waits are random, because a change ends the waits of all
 * instances at the same moment, and waits of equal length would end together again.
 */
final class WatchWait {
  /** Longest wait of an instance in a small fleet, in milliseconds. */
  private static final long SMALL_FLEET_MILLIS = 6_000;

  /** Longest wait for each peer in a large fleet, in milliseconds. */
  private static final long MILLIS_OF_PEER = 250;

  /** Longest wait of an instance in a fleet of any size, in milliseconds. */
  private static final long LONGEST_MILLIS = 25_000;

  /** Shortest wait as a fraction of the longest. */
  private static final double SHORTEST_FRACTION = 0.1;

  /**
   * Longest wait for each reader where only the hubs watch, in milliseconds. A wait for routes or
   * endpoints then ends every 0.19 s on average, as often as in a fleet of nine that all watch. If
   * all connections have become silent, the first watch that times out 1 s later finds the change.
   */
  private static final long MILLIS_OF_READER = 700;

  private WatchWait() {}

  /**
   * Returns the time for which a watch may stay without an answer where only the hubs watch, in
   * milliseconds.
   *
   * @param readers number of instances that watch, at least 1
   * @param random random number from 0 (inclusive) to 1 (exclusive)
   */
  static long readerMillis(int readers, double random) {
    return spread(Math.min(LONGEST_MILLIS, MILLIS_OF_READER * readers), random);
  }

  /**
   * Returns the time for which a watch may stay without an answer, in milliseconds.
   *
   * @param peers number of other instances
   * @param random random number from 0 (inclusive) to 1 (exclusive)
   */
  static long millis(int peers, double random) {
    long longest = Math.min(LONGEST_MILLIS, Math.max(SMALL_FLEET_MILLIS, MILLIS_OF_PEER * peers));
    return spread(longest, random);
  }

  private static long spread(long longest, double random) {
    return (long) (longest * (SHORTEST_FRACTION + (1 - SHORTEST_FRACTION) * random));
  }
}
