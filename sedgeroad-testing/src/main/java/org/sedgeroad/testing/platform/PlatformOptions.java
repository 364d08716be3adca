package org.sedgeroad.testing.platform;

/**
 * Options of the platform stand-in.
 *
 * @param port port, 0 for any free one
 * @param instanceLagMillis lag of the instance list in milliseconds
 * @param writesPerSecond maximum number of writes per second, 0 for no limit
 * @param readsPerSecond maximum number of reads per second, 0 for no limit
 * @param replayChanges number of past changes that a watch can replay
 * @param seed seed of random delays and lost answers
 */
public record PlatformOptions(
    int port,
    long instanceLagMillis,
    double writesPerSecond,
    double readsPerSecond,
    int replayChanges,
    long seed) {
  /** Options with any free port, no lag, no limits and 10,000 changes for watches to replay. */
  public static final PlatformOptions DEFAULTS = new PlatformOptions(0, 0, 0, 0, 10_000, 1);
}
