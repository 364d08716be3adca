package org.sedgeroad.testing.engine;

/**
 * Options of the engine stand-in. No component may be null.
 *
 * @param port port, 0 for any free one
 * @param name name shown in answers and reports
 * @param model name of the model
 * @param slots number of concurrent streams, at least 1
 * @param tokenMillis milliseconds between the tokens of a stream that runs alone, at least 0
 * @param prefillMicros microseconds per uncached prompt token, at least 0
 * @param batchSlowdown fraction of {@code tokenMillis} that each further running stream adds to it,
 *     at least 0
 * @param cacheTokens size of the prefix cache in tokens, at least 0
 * @param checkFencing whether an order ({@code POST /orders}) is refused if its fencing number is
 *     below the highest one accepted so far
 * @param reportLagMillis lag of load reports and cache events in milliseconds
 * @param eventGapProbability probability that a cache event is missing, from 0 to 1
 * @param resumeMillis milliseconds for which an ended run can be resumed
 * @param crashMillis milliseconds for which connections are refused after a prompt has crashed the
 *     engine, unless the process ends
 * @param haltOnCrash whether a crash ends the process
 * @param seed seed of the random gaps in cache events
 */
public record EngineOptions(
    int port,
    String name,
    String model,
    int slots,
    double tokenMillis,
    double prefillMicros,
    double batchSlowdown,
    int cacheTokens,
    boolean checkFencing,
    long reportLagMillis,
    double eventGapProbability,
    long resumeMillis,
    long crashMillis,
    boolean haltOnCrash,
    long seed) {
  /**
   * Options of a fast engine for tests: any free port, 4 slots, 2 ms per token, 20 µs per prompt
   * token, no lag and no gaps.
   */
  public static final EngineOptions DEFAULTS =
      new EngineOptions(
          0, "engine", "model", 4, 2, 20, 0.02, 65_536, false, 0, 0, 30_000, 1_000, false, 1);

  /**
   * Checks the ranges of slots, times per token, slowdown and cache size; the other components are
   * not checked.
   *
   * @throws IllegalArgumentException if {@code slots} is less than 1, or if {@code tokenMillis},
   *     {@code prefillMicros}, {@code batchSlowdown} or {@code cacheTokens} is negative
   */
  public EngineOptions {
    if (slots < 1 || tokenMillis < 0 || prefillMicros < 0 || batchSlowdown < 0 || cacheTokens < 0) {
      throw new IllegalArgumentException(
          "slots must be at least 1; times, slowdown and cache size at least 0");
    }
  }

  /** Returns a copy with another name. */
  public EngineOptions withName(String newName) {
    return new EngineOptions(
        port,
        newName,
        model,
        slots,
        tokenMillis,
        prefillMicros,
        batchSlowdown,
        cacheTokens,
        checkFencing,
        reportLagMillis,
        eventGapProbability,
        resumeMillis,
        crashMillis,
        haltOnCrash,
        seed);
  }

  /** Returns a copy with the given slots, milliseconds per token and batch slowdown. */
  public EngineOptions withSpeed(int slots, double tokenMillis, double batchSlowdown) {
    return new EngineOptions(
        port,
        name,
        model,
        slots,
        tokenMillis,
        prefillMicros,
        batchSlowdown,
        cacheTokens,
        checkFencing,
        reportLagMillis,
        eventGapProbability,
        resumeMillis,
        crashMillis,
        haltOnCrash,
        seed);
  }

  /** Returns a copy with the given microseconds per prompt token and cache size in tokens. */
  public EngineOptions withPrefill(double prefillMicros, int cacheTokens) {
    return new EngineOptions(
        port,
        name,
        model,
        slots,
        tokenMillis,
        prefillMicros,
        batchSlowdown,
        cacheTokens,
        checkFencing,
        reportLagMillis,
        eventGapProbability,
        resumeMillis,
        crashMillis,
        haltOnCrash,
        seed);
  }

  /** Returns a copy with the given lag of reports in milliseconds and probability of gaps. */
  public EngineOptions withReports(long reportLagMillis, double eventGapProbability) {
    return new EngineOptions(
        port,
        name,
        model,
        slots,
        tokenMillis,
        prefillMicros,
        batchSlowdown,
        cacheTokens,
        checkFencing,
        reportLagMillis,
        eventGapProbability,
        resumeMillis,
        crashMillis,
        haltOnCrash,
        seed);
  }

  /** Returns a copy that either checks fencing numbers or ignores them. */
  public EngineOptions withCheckFencing(boolean checkFencing) {
    return new EngineOptions(
        port,
        name,
        model,
        slots,
        tokenMillis,
        prefillMicros,
        batchSlowdown,
        cacheTokens,
        checkFencing,
        reportLagMillis,
        eventGapProbability,
        resumeMillis,
        crashMillis,
        haltOnCrash,
        seed);
  }
}
