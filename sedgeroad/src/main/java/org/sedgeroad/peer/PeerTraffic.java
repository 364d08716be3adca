package org.sedgeroad.peer;

/**
 * Traffic with one peer in one message class since the start. Sizes include framing, but no TCP and
 * IP headers.
 *
 * @param peer name of the peer
 * @param messageClass class of the message, for example {@code Heartbeat}
 * @param sentFrames frames written to the connection
 * @param sentBytes size of the sent frames in bytes
 * @param receivedFrames frames received
 * @param receivedBytes size of the received frames in bytes
 * @param droppedFrames frames not sent because the queue was full, or the network or the connection
 *     of the request was closed. Frames that were queued when a connection failed are not counted.
 */
public record PeerTraffic(
    String peer,
    String messageClass,
    long sentFrames,
    long sentBytes,
    long receivedFrames,
    long receivedBytes,
    long droppedFrames) {}
