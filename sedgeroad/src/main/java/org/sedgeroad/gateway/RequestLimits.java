package org.sedgeroad.gateway;

/**
 * Limits on the requests and connections of a client.
 *
 * @param headerBytes largest header section, in bytes
 * @param bodyBytes largest body, in bytes
 * @param idleTimeoutMillis longest time that a connection stays open without a request, in
 *     milliseconds
 */
public record RequestLimits(int headerBytes, long bodyBytes, long idleTimeoutMillis) {}
