package org.sedgeroad.metric;

/**
 * A live request that has ended.
 *
 * @param member member that the caller belongs to, empty if it is not known
 * @param outcome outcome of the request
 * @param firstEventNanos time to the first event of a streamed answer in nanoseconds, negative if
 *     there was none
 * @param durationNanos time to the end of the request in nanoseconds, 0 if it was not served
 */
public record CompletedRequest(
    String member, RequestOutcome outcome, long firstEventNanos, long durationNanos) {

  /** Returns a request that was refused before it was served. */
  public static CompletedRequest refused(String member, RequestOutcome outcome) {
    return new CompletedRequest(member, outcome, -1, 0);
  }
}
