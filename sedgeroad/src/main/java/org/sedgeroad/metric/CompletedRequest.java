package org.sedgeroad.metric;

/**
 * A live request that has ended.
 *
 * @param member name of the member that the caller belongs to, empty if the caller is unknown
 * @param outcome outcome of the request
 * @param firstEventNanos nanoseconds from the start of serving the request to the first event of a
 *     streamed answer, negative if there was none
 * @param durationNanos nanoseconds from the start of serving the request to its end, 0 if it was
 *     not served
 */
public record CompletedRequest(
    String member, RequestOutcome outcome, long firstEventNanos, long durationNanos) {

  /** Returns a request that was refused before it was served. */
  public static CompletedRequest refused(String member, RequestOutcome outcome) {
    return new CompletedRequest(member, outcome, -1, 0);
  }
}
