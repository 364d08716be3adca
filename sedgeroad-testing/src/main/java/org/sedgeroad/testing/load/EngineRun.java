package org.sedgeroad.testing.load;

/**
 * One run of a request in an engine's history. Times are wall clock in microseconds since 1970, -1
 * if the run did not come so far.
 *
 * @param engine name of the engine
 * @param requestId id of the run
 * @param serviceClass {@code live}, {@code batch} or empty
 * @param fingerprint fingerprint of the prompt, 16 hexadecimal digits
 * @param acceptMicros arrival
 * @param startMicros time at which it got a slot
 * @param endMicros time of its end
 * @param finished whether it made its last token
 * @param tokens tokens made
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

  /** Returns the wait for a slot up to a time, in microseconds. */
  public long waitMicros(long untilMicros) {
    return (startMicros < 0 ? untilMicros : startMicros) - acceptMicros;
  }

  /** Returns the part of the time in which the run held a slot between two times. */
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

  EngineRun ended(long micros, boolean whole, int made) {
    return new EngineRun(
        engine,
        requestId,
        serviceClass,
        fingerprint,
        acceptMicros,
        startMicros,
        micros,
        whole,
        made);
  }
}
