package org.sedgeroad.api;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicReference;
import org.sedgeroad.live.LiveEventQueue;

/** Notifies the live request in progress on a connection when the caller closes the connection. */
final class CallerDisconnectListener {
  private static final AttachmentKey<CallerDisconnectListener> KEY =
      AttachmentKey.create(CallerDisconnectListener.class);

  private final AtomicReference<LiveEventQueue> currentQueue = new AtomicReference<>();

  /**
   * Returns the listener of a connection, which is added on first use. All requests of a connection
   * share it, so that listeners do not accumulate on a long-lived connection.
   */
  static CallerDisconnectListener of(ServerConnection connection) {
    CallerDisconnectListener listener = connection.getAttachment(KEY);
    if (listener == null) {
      listener = new CallerDisconnectListener();
      CallerDisconnectListener added = listener;
      connection.putAttachment(KEY, added);
      connection.addCloseListener(closed -> added.onClosed());
    }
    return listener;
  }

  /** Sets the event queue of the request that is notified if the connection closes. */
  void setCurrentQueue(LiveEventQueue eventQueue) {
    currentQueue.set(eventQueue);
  }

  /** Removes the event queue once its request has ended. */
  void clearCurrentQueue() {
    currentQueue.set(null);
  }

  private void onClosed() {
    LiveEventQueue eventQueue = currentQueue.get();
    if (eventQueue != null) {
      eventQueue.callerDisconnected();
    }
  }
}
