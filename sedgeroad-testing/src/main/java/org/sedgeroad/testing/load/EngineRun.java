package org.sedgeroad.testing.load;

/**
 * One run of a request in an engine's history. No component may be null. Times are wall-clock times
 * in microseconds since 1970, -1 if the run did not reach that point.
 *
 * @param engine name of the engine
 * @param requestId request id of the run
 * @param serviceClass {@code live}, {@code batch} or empty
 * @param fingerprint fingerprint of the prompt, 16 hexadecimal digits
 * @param acceptMicros time at which the engine accepted the request
 * @param startMicros time at which the run got a slot
 * @param endMicros time at which the run ended
 * @param finished whether the run produced its last token
 * @param tokens number of tokens produced, including those of a run that was resumed; 0 until the
 *     run ends and after a crash of the engine
 */
public record EngineRun(
    String engine,
    String requestId,
    String serviceClass,
    String fingerprint,
    long acceptMicros,
    long startMicros,
    long endMicros,
    boolean finished,
    int tokens) {

  /** Returns whether the run belongs to batch work. */
  public boolean isBatch() {
    return serviceClass.equals("batch");
  }

  /**
   * Returns the wait for a slot in microseconds; a run without a slot is taken to wait until the
   * given time.
   */
  public long waitMicros(long untilMicros) {
    return (startMicros < 0 ? untilMicros : startMicros) - acceptMicros;
  }

  /** Returns the time for which the run held a slot between two times, in microseconds. */
  public long slotMicros(long fromMicros, long toMicros) {
    if (startMicros < 0) {
      return 0;
    }
    long end = endMicros < 0 ? toMicros : endMicros;
    return Math.max(0, Math.min(end, toMicros) - Math.max(startMicros, fromMicros));
  }

  EngineRun started(long micros) {
    return new EngineRun(
        engine, requestId, serviceClass, fingerprint, acceptMicros, micros, -1, false, 0);
  }

  EngineRun ended(long micros, boolean lastTokenProduced, int producedTokens) {
    return new EngineRun(
        engine,
        requestId,
        serviceClass,
        fingerprint,
        acceptMicros,
        startMicros,
        micros,
        lastTokenProduced,
        producedTokens);
  }
}
