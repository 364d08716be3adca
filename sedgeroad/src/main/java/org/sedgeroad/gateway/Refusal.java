package org.sedgeroad.gateway;

import java.util.Objects;

/**
 * Why a request gets no answer of an endpoint.
 *
 * @param reason what is known of the request's work
 * @param text description for logs
 * @param retryAtNanos monotonic time at which the client may come back, 0 if unknown
 */
public record Refusal(Reason reason, String text, long retryAtNanos) {

  /** Kinds of refusal. */
  public enum Reason {
    /** No route matches. */
    NO_ROUTE,
    /** The request has not run and will not run. */
    NOT_RUN,
    /** The request may have run. */
    UNKNOWN,
    /** The deadline passed; the request may have run. */
    TIMED_OUT
  }

  /** Checks that reason and text are not null. */
  public Refusal {
    Objects.requireNonNull(reason);
    Objects.requireNonNull(text);
  }

  /** Returns a refusal without a time to come back. */
  public static Refusal of(Reason reason, String text) {
    return new Refusal(reason, text, 0);
  }
}
