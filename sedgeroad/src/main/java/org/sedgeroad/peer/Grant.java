package org.sedgeroad.peer;

/**
 * Answers a {@link GrantRequest}.
 *
 * @param member the member
 * @param limit name of the limit
 * @param granted units granted, 0 if none
 * @param validMillis time for which the units may be used, in milliseconds. The receiver counts it
 *     from before it sent its request, since the clocks of instances can't be compared.
 * @param retryMillis time after which another request may succeed, in milliseconds
 * @param version version of the limit that was applied
 */
public record Grant(
    String member, String limit, long granted, long validMillis, long retryMillis, long version)
    implements PeerMessage {}
