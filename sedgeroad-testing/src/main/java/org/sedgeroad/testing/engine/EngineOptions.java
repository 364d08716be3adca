package org.sedgeroad.testing.engine;

/**
 * Options of the engine stand-in.
 *
 * @param port port, 0 for any free one
 * @param name name shown in answers and reports
 * @param model name of the model
 * @param slots number of concurrent streams, at least 1
 * @param tokenMillis milliseconds between the tokens of a stream that runs alone
 * @param prefillMicros microseconds per uncached prompt token
 * @param batchSlowdown part of {@code tokenMillis} that each further running stream adds
 * @param cacheTokens size of the prefix cache in tokens
 * @param checkFencing whether orders with a fencing number below the highest seen are refused
 * @param reportLagMillis lag of load reports and cache events
 * @param eventGapProbability probability that a cache event is missing, from 0 to 1
 * @param resumeMillis time for which an ended run can be resumed
 * @param crashMillis time without connections after a crash that does not end the process
 * @param haltOnCrash whether a crash ends the process
 * @param seed seed of random gaps
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
  /** A fast engine for tests: 4 slots, 2 ms a token, 20 µs a prompt token, no lag, no gaps. */
  public static final EngineOptions DEFAULTS =
      new EngineOptions(
          0, "engine", "model", 4, 2, 20, 0.02, 65_536, false, 0, 0, 30_000, 1_000, false, 1);

  /** Checks the ranges. */
  public EngineOptions {
    if (slots < 1 || tokenMillis < 0 || prefillMicros < 0 || batchSlowdown < 0 || cacheTokens < 0) {
      throw new IllegalArgumentException("engine option out of range");
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

  /** Returns a copy with other slots, milliseconds per token and batch slowdown. */
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

  /** Returns a copy with another prefill cost and cache size. */
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

  /** Returns a copy that reports with a lag and with gaps. */
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

  /** Returns a copy that checks fencing numbers or ignores them. */
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
