package org.sedgeroad.peer;

/**
 * Requests a sub-grant from the owner of a member's token bucket; the answer is a {@link Grant}.
 *
 * @param sender name of the sender
 * @param member the member
 * @param limit name of the limit, for example {@code requests-per-second}
 * @param wanted units wanted
 */
public record GrantRequest(String sender, String member, String limit, long wanted)
    implements PeerMessage {}
