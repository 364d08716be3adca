package org.sedgeroad.peer;

import java.util.concurrent.CompletableFuture;

/**
 * Sends messages to other instances and passes received ones to handlers. Thread-safe; no call
 * blocks.
 */
public interface PeerNetwork extends AutoCloseable {

  /** Sends a message without an answer; it is lost if the peer can't be reached. */
  void send(String instance, PeerMessage message);

  /**
   * Sends a request and returns its answer. The future fails if the peer is unknown, can't be
   * reached, does not handle the request, or has not answered by the deadline.
   *
   * @param instance name of the peer
   * @param request the request
   * @param deadlineNanos monotonic deadline in nanoseconds
   */
  CompletableFuture<PeerMessage> call(String instance, PeerMessage request, long deadlineNanos);

  /** Sets the handler of one message type; replaces an earlier one. */
  <T extends PeerMessage> void handle(Class<T> type, PeerHandler<T> handler);

  @Override
  void close();
}
