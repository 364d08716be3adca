package org.sedgeroad.live;

import java.io.IOException;
import org.sedgeroad.http.HttpHead;

/**
 * Counts what the caller has received over several attempts, so that a restarted answer does not
 * repeat it. Used by one thread.
 */
final class Delivery {
  private final AnswerSink sink;
  private int attempts;
  private int delivered;
  private int toSkip;

  Delivery(AnswerSink sink) {
    this.sink = sink;
  }

  int nextAttempt() {
    return ++attempts;
  }

  boolean isEmpty() {
    return delivered == 0;
  }

  /** Prepares for a new answer from its start: events that the caller has are skipped. */
  void restart() {
    toSkip = delivered;
  }

  void event(String data) throws IOException {
    if (toSkip > 0) {
      toSkip--;
      return;
    }
    delivered++;
    sink.event(data);
  }

  void whole(HttpHead head, byte[] body) throws IOException {
    if (delivered > 0) {
      sink.endStream();
    } else {
      String type = head.header("Content-Type").orElse("application/json");
      if (type.startsWith("text/event-stream")) {
        sink.endStream();
      } else {
        sink.whole(head.status(), type, body);
      }
    }
  }
}
