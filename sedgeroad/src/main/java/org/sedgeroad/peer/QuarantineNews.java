package org.sedgeroad.peer;

/**
 * Reports that a request crashed two endpoints and must not be sent to any endpoint.
 *
 * @param fingerprint fingerprint of the request
 * @param deadlineMillis end of the quarantine in milliseconds since 1970
 */
public record QuarantineNews(String fingerprint, long deadlineMillis) implements PeerMessage {}
