package org.sedgeroad.peer;

import java.util.Optional;

/**
 * Receives one type of message on a worker thread.
 *
 * @param <T> type of the message
 */
@FunctionalInterface
public interface PeerHandler<T extends PeerMessage> {

  /** Handles a message and returns the answer to a request, empty if there is none. */
  Optional<PeerMessage> handle(String sender, T message);
}
