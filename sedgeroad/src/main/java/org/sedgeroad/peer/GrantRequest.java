package org.sedgeroad.peer;

/**
 * Asks the home of a member's token bucket for a sub-grant; the answer is a {@link Grant}.
 *
 * @param sender name of the sender
 * @param member the member
 * @param limit name of the limit, for example {@code requests-per-second}
 * @param wanted units wanted
 */
public record GrantRequest(String sender, String member, String limit, long wanted)
    implements PeerMessage {}
