package org.sedgeroad.peer;

/**
 * Traffic with one peer in one class of message since the start, framing included, TCP and IP
 * headers not.
 *
 * @param peer name of the peer
 * @param messageClass class of message, for example {@code Heartbeat}
 * @param sentFrames frames given to the connection
 * @param sentBytes their bytes
 * @param receivedFrames frames received
 * @param receivedBytes their bytes
 * @param droppedFrames frames that were not sent since the peer was unreachable or the queue full
 */
public record PeerTraffic(
    String peer,
    String messageClass,
    long sentFrames,
    long sentBytes,
    long receivedFrames,
    long receivedBytes,
    long droppedFrames) {}
