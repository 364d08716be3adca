package org.sedgeroad.peer;

/**
 * What is known of one instance. A higher incarnation, then a higher sequence, replaces a lower
 * one.
 *
 * @param instance name of the instance
 * @param address peer address, {@code IP:PORT}
 * @param domain failure domain
 * @param incarnation start time of the process in milliseconds since 1970
 * @param sequence heartbeats that the instance has sent
 * @param leaving whether the instance said that it is leaving
 */
public record MemberSighting(
    String instance,
    String address,
    String domain,
    long incarnation,
    long sequence,
    boolean leaving) {}
