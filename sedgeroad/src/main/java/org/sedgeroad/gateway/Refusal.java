package org.sedgeroad.gateway;

import java.util.Objects;

/**
 * Reason why a request gets no answer from an endpoint.
 *
 * @param reason kind of refusal, which tells whether the request may have run, not null
 * @param text description for logs, not null
 * @param retryAtNanos monotonic time at which the client may retry, in nanoseconds, 0 if unknown
 */
public record Refusal(Reason reason, String text, long retryAtNanos) {

  /** Kinds of refusal. */
  public enum Reason {
    /** No route matches. */
    NO_ROUTE,
    /** The request has no valid key of a workspace; it has not run. */
    UNAUTHORIZED,
    /** The request exceeds the quota of its workspace; it has not run and will not run. */
    OVER_QUOTA,
    /** The request can't be sent to an endpoint as it is. */
    MALFORMED,
    /** The request has not run and will not run. */
    NOT_RUN,
    /** The request may have run. */
    UNKNOWN,
    /** The deadline passed; the request may have run. */
    TIMED_OUT
  }

  /**
   * Checks the components.
   *
   * @throws NullPointerException if the reason or the text is null
   */
  public Refusal {
    Objects.requireNonNull(reason);
    Objects.requireNonNull(text);
  }

  /** Returns a refusal without a time to retry. */
  public static Refusal of(Reason reason, String text) {
    return new Refusal(reason, text, 0);
  }
}
