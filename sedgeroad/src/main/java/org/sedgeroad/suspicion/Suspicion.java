package org.sedgeroad.suspicion;

import java.util.Objects;

/**
 * What is known against a request.
 *
 * @param verdict whether it may be sent, not null
 * @param key key of the request that decided, empty if the request may be sent
 * @param decidedAtNanos monotonic time from which a request that awaits reports is quarantined
 *     unless one of them clears it, in nanoseconds; 0 for other verdicts
 */
public record Suspicion(Verdict verdict, String key, long decidedAtNanos) {
  /** Nothing is known against the request. */
  public static final Suspicion NONE = new Suspicion(Verdict.CLEAR, "", 0);

  /** Whether a request may be sent. */
  public enum Verdict {
    /** The request may be sent. */
    CLEAR,
    /** The request waits, because other instances may have seen answers to such requests. */
    AWAITING_REPORTS,
    /** Endpoints crashed one after the other under such requests; it must not be sent. */
    QUARANTINED
  }

  /**
   * Checks the components.
   *
   * @throws NullPointerException if a component is null
   */
  public Suspicion {
    Objects.requireNonNull(verdict);
    Objects.requireNonNull(key);
  }
}
