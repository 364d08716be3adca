package org.sedgeroad.peer;

import java.util.Optional;

/**
 * Handles the received messages of one type on a worker thread.
 *
 * @param <T> type of the message
 */
@FunctionalInterface
public interface PeerHandler<T extends PeerMessage> {

  /**
   * Handles a message.
   *
   * @param sender name of the sender
   * @param message the message
   * @return the answer to a request, empty if there is none
   */
  Optional<PeerMessage> handle(String sender, T message);
}
