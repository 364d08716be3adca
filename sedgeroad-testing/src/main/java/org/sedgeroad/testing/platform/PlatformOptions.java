package org.sedgeroad.testing.platform;

/**
 * Options of the platform stand-in.
 *
 * @param port port, 0 for any free one
 * @param instanceLagMillis lag of the instance list in milliseconds
 * @param writesPerSecond limit of writes, 0 for none
 * @param readsPerSecond limit of reads, 0 for none
 * @param replayChanges number of past changes that a watch can replay
 * @param seed seed of random faults
 */
public record PlatformOptions(
    int port,
    long instanceLagMillis,
    double writesPerSecond,
    double readsPerSecond,
    int replayChanges,
    long seed) {
  /** Any free port, no lag, no limits, 10,000 changes. */
  public static final PlatformOptions DEFAULTS = new PlatformOptions(0, 0, 0, 0, 10_000, 1);
}
