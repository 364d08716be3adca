package org.sedgeroad.api;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicReference;
import org.sedgeroad.live.LiveCall;

/** Tells the request in progress on a connection that its caller is gone. */
final class CallerWatch {
  private static final AttachmentKey<CallerWatch> KEY = AttachmentKey.create(CallerWatch.class);

  private final AtomicReference<LiveCall> current = new AtomicReference<>();

  /** Returns the one watch of a connection, so that a long-lived connection has one listener. */
  static CallerWatch of(ServerConnection connection) {
    CallerWatch watch = connection.getAttachment(KEY);
    if (watch == null) {
      watch = new CallerWatch();
      CallerWatch added = watch;
      connection.putAttachment(KEY, added);
      connection.addCloseListener(closed -> added.closed());
    }
    return watch;
  }

  void begin(LiveCall call) {
    current.set(call);
  }

  void end() {
    current.set(null);
  }

  private void closed() {
    LiveCall call = current.get();
    if (call != null) {
      call.callerGone();
    }
  }
}
