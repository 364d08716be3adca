package org.sedgeroad.presence;

import java.util.Collection;

/** Sends load messages to instances, which may lose them. */
@FunctionalInterface
public interface LoadSender {
  /**
   * Sends a message.
   *
   * @param message the message
   * @param instances names of the receivers
   */
  void send(LoadMessage message, Collection<String> instances);
}
