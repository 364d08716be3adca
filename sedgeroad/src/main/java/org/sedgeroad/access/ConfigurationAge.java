package org.sedgeroad.access;

import java.util.function.LongSupplier;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.presence.Confirmation;

/**
 * Age of the configuration in force: the time since the beginning of a read of the store that
 * showed that no newer version existed. The read may have been made by another instance. Used on
 * the event loop.
 *
 * <p>A message may wait for seconds in the buffers of a busy or suspended process. A confirmation
 * of another instance therefore counts from the time at which this instance sent the report that
 * the message answers. While a process is suspended the monotonic clock may stand still: the age
 * also grows by each forward jump of the wall clock against the monotonic clock.
 */
public final class ConfigurationAge {
  /** Fraction of the bound on revocation after which the configuration has expired. */
  private static final double EXPIRY_FRACTION = 0.6;

  /** Jump of the wall clock that counts as a suspension, in milliseconds; clocks drift by less. */
  private static final long WALL_JUMP_MILLIS = 250;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final long expiryNanos;
  private final MonotonicClock clock;
  private final LongSupplier wallMillis;
  private final LongSupplier version;

  /** Time that the monotonic clock did not count, in nanoseconds. */
  private long suspendedNanos;

  private long observedNanos;
  private long observedWallMillis;

  /** Time at which the last suspension was noticed, by the monotonic clock. */
  private long suspensionNoticedNanos;

  /** Youngest confirmation of any version, and when its read began. */
  private long knownVersion;

  private long knownBeganNanos;
  private boolean known;

  /** When the youngest read began that showed no newer version than the one in force. */
  private long confirmedNanos;

  private boolean confirmed;

  /**
   * Creates an age without any confirmation.
   *
   * @param revokeMillis time after which no request with a revoked key may run, in milliseconds; 0
   *     if the age is not bounded
   * @param clock monotonic clock, not null
   * @param wallMillis wall clock in milliseconds since the epoch, not null
   * @param version returns the version of the configuration in force, not null
   */
  public ConfigurationAge(
      long revokeMillis, MonotonicClock clock, LongSupplier wallMillis, LongSupplier version) {
    this.expiryNanos = (long) (revokeMillis * EXPIRY_FRACTION * NANOS_PER_MILLI);
    this.clock = clock;
    this.wallMillis = wallMillis;
    this.version = version;
    this.observedNanos = clock.nanos();
    this.observedWallMillis = wallMillis.getAsLong();
    this.suspensionNoticedNanos = observedNanos - 1;
  }

  /** Returns whether requests with keys are refused once the configuration is too old. */
  public boolean isBounded() {
    return expiryNanos > 0;
  }

  /**
   * Returns the time now, in nanoseconds, by a clock that also counts suspensions of the process.
   * To be called several times a second, so that pauses are noticed.
   */
  public long observe() {
    long now = clock.nanos();
    long wall = wallMillis.getAsLong();
    long passed = now - observedNanos;
    long jump = (wall - observedWallMillis) * NANOS_PER_MILLI - passed;
    if (jump > WALL_JUMP_MILLIS * NANOS_PER_MILLI) {
      suspendedNanos += jump;
      suspensionNoticedNanos = now;
    }
    observedNanos = now;
    observedWallMillis = wall;
    return now + suspendedNanos;
  }

  /**
   * Records that a read of this instance has shown the version in force to be the newest.
   *
   * @param beganNanos time at which the read began, by {@link #observe}
   */
  public void confirm(long beganNanos) {
    observe();
    record(version.getAsLong(), beganNanos);
  }

  /**
   * Records a confirmation that another instance has sent after it had received a report of this
   * one.
   *
   * @param confirmation the confirmation, not null
   * @param reportedNanos monotonic time at which this instance sent that report, in nanoseconds; a
   *     report that was sent before a suspension says nothing about the time since
   */
  public void receive(Confirmation confirmation, long reportedNanos) {
    observe();
    if (confirmation.ageMillis() < Integer.MAX_VALUE
        && reportedNanos - suspensionNoticedNanos > 0) {
      record(
          confirmation.version(),
          reportedNanos + suspendedNanos - confirmation.ageMillis() * NANOS_PER_MILLI);
    }
  }

  private void record(long confirmedVersion, long beganNanos) {
    if (!known || beganNanos - knownBeganNanos > 0) {
      known = true;
      knownVersion = confirmedVersion;
      knownBeganNanos = beganNanos;
    }
    update();
  }

  /** Takes the youngest confirmation into account, which may be of a version applied since. */
  private void update() {
    if (known
        && knownVersion <= version.getAsLong()
        && (!confirmed || knownBeganNanos - confirmedNanos > 0)) {
      confirmed = true;
      confirmedNanos = knownBeganNanos;
    }
  }

  /** Returns the youngest confirmation for other instances, {@link Confirmation#NONE} if none. */
  public Confirmation confirmation() {
    if (!known) {
      return Confirmation.NONE;
    }
    long ageMillis = (observe() - knownBeganNanos) / NANOS_PER_MILLI;
    return new Confirmation(knownVersion, (int) Math.min(Integer.MAX_VALUE - 1, ageMillis));
  }

  /** Returns whether the configuration in force was ever confirmed. */
  public boolean isConfirmed() {
    update();
    return confirmed;
  }

  /** Returns the age of the configuration, in milliseconds; {@link Long#MAX_VALUE} if unknown. */
  public long ageMillis() {
    long now = observe();
    update();
    return confirmed ? (now - confirmedNanos) / NANOS_PER_MILLI : Long.MAX_VALUE;
  }

  /**
   * Returns the monotonic time from which on the configuration in force is too old if nothing
   * confirms it until then, in nanoseconds.
   *
   * @throws IllegalStateException if the age is not bounded, or no read has confirmed the
   *     configuration
   */
  public long expiresAtNanos() {
    if (!isBounded() || !isConfirmed()) {
      throw new IllegalStateException("the configuration has no time of expiry");
    }
    return confirmedNanos - suspendedNanos + expiryNanos;
  }

  /**
   * Returns what is known of the age of the configuration in force.
   *
   * @param newestPeerVersion newest version in force at another instance, 0 if unknown
   */
  public Freshness freshness(long newestPeerVersion) {
    if (isBounded()) {
      observe();
      if (!isConfirmed() || clock.nanos() - expiresAtNanos() > 0) {
        return Freshness.EXPIRED;
      }
    }
    long current = version.getAsLong();
    return newestPeerVersion > current || knownVersion > current
        ? Freshness.OUTDATED
        : Freshness.CURRENT;
  }
}
