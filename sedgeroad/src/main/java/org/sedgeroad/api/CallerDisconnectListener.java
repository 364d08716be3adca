package org.sedgeroad.api;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicReference;
import org.sedgeroad.live.LiveCall;

/** Tells the request in progress on a connection that its caller is gone. */
final class CallerDisconnectListener {
  private static final AttachmentKey<CallerDisconnectListener> KEY =
      AttachmentKey.create(CallerDisconnectListener.class);

  private final AtomicReference<LiveCall> currentCall = new AtomicReference<>();

  /** Returns the one watch of a connection, so that a long-lived connection has one listener. */
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

  void setCurrentCall(LiveCall call) {
    currentCall.set(call);
  }

  void clearCurrentCall() {
    currentCall.set(null);
  }

  private void onClosed() {
    LiveCall call = currentCall.get();
    if (call != null) {
      call.callerGone();
    }
  }
}
