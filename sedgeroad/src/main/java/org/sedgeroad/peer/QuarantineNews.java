package org.sedgeroad.peer;

/**
 * Tells that a request crashed two endpoints and must not be sent.
 *
 * @param fingerprint fingerprint of the request
 * @param deadlineMillis end of the quarantine in milliseconds since 1970
 */
public record QuarantineNews(String fingerprint, long deadlineMillis) implements PeerMessage {}
