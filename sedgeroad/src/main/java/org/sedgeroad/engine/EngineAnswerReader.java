package org.sedgeroad.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.http.HttpListener;
import org.sedgeroad.http.LineSplitter;

/**
 * Reads the HTTP answer to a call, as server-sent events or as one body, and checks that it is
 * complete.
 */
final class EngineAnswerReader implements HttpListener {
  private static final String DATA = "data:";
  private static final String END_MARKER = "[DONE]";

  private final EngineListener listener;
  private final LineSplitter lines = new LineSplitter(this::readLine);
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private boolean eventStream;
  private boolean endMarkerSeen;
  private boolean draining;

  EngineAnswerReader(EngineListener listener) {
    this.listener = listener;
  }

  @Override
  public void onHead(HttpHead head) {
    draining = head.status() == 503 && head.header("X-Draining").filter("true"::equals).isPresent();
    if (draining) {
      return;
    }
    eventStream = head.header("Content-Type").orElse("").startsWith("text/event-stream");
    listener.onHead(head);
  }

  @Override
  public void onBytes(ByteBuffer bytes) {
    if (eventStream) {
      lines.accept(bytes);
    } else {
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      body.write(copy, 0, copy.length);
    }
  }

  @Override
  public void onEnd() {
    if (draining) {
      listener.onFailure(new EngineFailure.NotRun("endpoint is draining", true));
    } else if (eventStream && !endMarkerSeen) {
      listener.onFailure(new EngineFailure.Broken("stream ended without its end marker"));
    } else {
      listener.onComplete(body.toByteArray());
    }
  }

  @Override
  public void onFailure(HttpFailure failure) {
    if (draining) {
      listener.onFailure(new EngineFailure.NotRun("endpoint is draining", true));
    } else if (endMarkerSeen) {
      // All events have been received; the connection failed only afterwards.
      listener.onComplete(new byte[0]);
    } else if (failure instanceof HttpFailure.NotSent) {
      listener.onFailure(new EngineFailure.NotRun(failure.reason(), false));
    } else {
      listener.onFailure(new EngineFailure.Broken(failure.reason()));
    }
  }

  private void readLine(String line) {
    if (!line.startsWith(DATA) || endMarkerSeen) {
      return;
    }
    String data = line.substring(DATA.length()).strip();
    if (data.equals(END_MARKER)) {
      endMarkerSeen = true;
    } else {
      listener.onEvent(data);
    }
  }
}
