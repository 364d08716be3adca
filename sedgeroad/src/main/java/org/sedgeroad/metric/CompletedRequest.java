package org.sedgeroad.metric;

/**
 * A live request that has ended.
 *
 * @param member member of the caller, empty if it is not known
 * @param outcome how it ended
 * @param firstNanos time to the first event of a streamed answer in nanoseconds, negative if there
 *     is none
 * @param durationNanos time to the end in nanoseconds, 0 if it was not served
 */
public record CompletedRequest(
    String member, RequestOutcome outcome, long firstNanos, long durationNanos) {

  /** Returns a request that was refused before anything was sent. */
  public static CompletedRequest refused(String member, RequestOutcome outcome) {
    return new CompletedRequest(member, outcome, -1, 0);
  }
}
