package org.sedgeroad.limit;

/**
 * Token bucket with the units of one member's rate that its owner may grant, in micro-units.
 *
 * <p>A bucket starts empty and holds at most the units of one second. After it refused a larger
 * request, of up to the units of one minute, it accumulates the units for that request. Not
 * thread-safe.
 */
final class TokenBucket {
  private static final long MICRO = 1_000_000L;
  private static final long MICROS_PER_SECOND = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MICRO = 1_000L;
  private static final long MAX_ACCUMULATION_SECONDS = 60;

  private long balanceMicro;
  private long refilledAtNanos;
  private long lastRate;
  private long pendingRequestMicro;
  private long takenMicro;
  private long measuredAtNanos;
  private boolean refused;
  private long pendingUntilNanos;

  private TokenBucket(long nowNanos) {
    this.refilledAtNanos = nowNanos;
    this.measuredAtNanos = nowNanos;
  }

  /** Returns an empty bucket. */
  static TokenBucket emptyAt(long nowNanos) {
    return new TokenBucket(nowNanos);
  }

  /**
   * Takes units if the bucket holds them all.
   *
   * @param units units wanted, at least 1
   * @param microRate current rate, in micro-units per second
   * @param nowNanos monotonic time now
   * @return whether they were taken
   */
  boolean tryTake(long units, long microRate, long nowNanos) {
    long wanted = Math.multiplyExact(units, MICRO);
    refill(microRate, nowNanos);
    if (wanted > balanceMicro) {
      refused = true;
      if (wanted <= maxRequestMicro(microRate)) {
        pendingRequestMicro = Math.max(pendingRequestMicro, wanted);
        pendingUntilNanos = nowNanos + MAX_ACCUMULATION_SECONDS * NANOS_PER_SECOND;
      }
      return false;
    }
    balanceMicro -= wanted;
    takenMicro += wanted;
    if (wanted >= pendingRequestMicro) {
      pendingRequestMicro = 0;
    }
    return true;
  }

  /**
   * Returns the milliseconds until the bucket holds the units at the given rate, at most a minute.
   */
  long millisUntil(long units, long microRate) {
    long wanted = units * MICRO;
    if (microRate <= 0 || wanted > maxRequestMicro(microRate)) {
      return MAX_ACCUMULATION_SECONDS * 1000;
    }
    long missing = Math.max(0, wanted - balanceMicro);
    return Math.min(MAX_ACCUMULATION_SECONDS * 1000, missing / Math.max(1, microRate / 1000) + 1);
  }

  /** Returns the demand since the last call and restarts the measurement. */
  Demand takeDemand(long nowNanos) {
    double seconds = (nowNanos - measuredAtNanos) / (double) NANOS_PER_SECOND;
    double allowed = Math.max(1, lastRate * seconds);
    Demand demand = new Demand((long) (takenMicro / allowed * LimitValues.MILLION), refused);
    takenMicro = 0;
    refused = false;
    measuredAtNanos = nowNanos;
    return demand;
  }

  /** Returns the whole units held, without those earned since the last refill. */
  long units() {
    return balanceMicro / MICRO;
  }

  private void refill(long microRate, long nowNanos) {
    long micros =
        Math.min(
            (nowNanos - refilledAtNanos) / NANOS_PER_MICRO,
            MAX_ACCUMULATION_SECONDS * MICROS_PER_SECOND);
    // A raised rate applies from now on: before, the difference belonged to other failure domains.
    long rate = Math.min(lastRate, microRate);
    long earned =
        rate / MICROS_PER_SECOND * micros + rate % MICROS_PER_SECOND * micros / MICROS_PER_SECOND;
    if (micros > 0 && (earned > 0 || lastRate != microRate)) {
      balanceMicro += earned;
      refilledAtNanos = nowNanos;
    }
    lastRate = microRate;
    pendingRequestMicro =
        nowNanos - pendingUntilNanos < 0
            ? Math.min(pendingRequestMicro, maxRequestMicro(microRate))
            : 0;
    balanceMicro = Math.min(balanceMicro, Math.max(microRate, pendingRequestMicro));
  }

  private static long maxRequestMicro(long microRate) {
    return microRate * MAX_ACCUMULATION_SECONDS;
  }
}
