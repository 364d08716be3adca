package org.sedgeroad.live;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sedgeroad.http.HttpHead;

/**
 * Passes the events of one or more attempts to the caller as a single answer, without repeating
 * text that was already sent. Not thread-safe.
 *
 * <p>A restarted answer is compared with the earlier one by its text and not by its events, because
 * an engine may split the same text into different events in another run.
 */
final class Delivery {
  private final AnswerSink sink;
  private final boolean restartable;
  private final List<String> sentEvents = new ArrayList<>();
  private int sentCount;
  private String textToSkip = "";
  // Number of events without text that were already sent and are skipped in a restarted answer.
  private int emptyEventsToSkip;
  // Whether the event with the finish reason was sent before the answer was restarted.
  private boolean finishEventSent;

  /**
   * Creates a delivery.
   *
   * @param restartable whether the answer may be restarted; if so, the events sent are kept
   */
  Delivery(AnswerSink sink, boolean restartable) {
    this.sink = sink;
    this.restartable = restartable;
  }

  /** Returns whether no event has been sent to the caller yet. */
  boolean isEmpty() {
    return sentCount == 0;
  }

  /**
   * Prepares for an answer that starts again from the beginning; returns false if it can't be
   * joined with the events already sent.
   */
  boolean restart() {
    if (isEmpty()) {
      return true;
    }
    if (!restartable) {
      return false;
    }
    StringBuilder text = new StringBuilder();
    emptyEventsToSkip = 0;
    finishEventSent = false;
    for (String data : sentEvents) {
      Optional<StreamText> event = StreamText.of(data);
      if (event.isEmpty()) {
        return false;
      }
      text.append(event.get().text());
      emptyEventsToSkip += event.get().text().isEmpty() ? 1 : 0;
      finishEventSent |= event.get().isFinish();
    }
    textToSkip = text.toString();
    return true;
  }

  /**
   * Processes the next event of the answer and sends what is new in it.
   *
   * @return false if the answer differs from the part already sent
   * @throws IOException if the caller has disconnected
   */
  boolean processEvent(String data) throws IOException {
    if (textToSkip.isEmpty() && emptyEventsToSkip == 0) {
      send(data);
      return true;
    }
    Optional<StreamText> read = StreamText.of(data);
    if (read.isEmpty()) {
      return false;
    }
    StreamText event = read.get();
    String text = event.text();
    if (text.isEmpty()) {
      if (emptyEventsToSkip > 0) {
        emptyEventsToSkip--;
      } else if (textToSkip.isEmpty()) {
        send(data);
      }
      return true;
    }
    int common = Math.min(text.length(), textToSkip.length());
    if (!textToSkip.startsWith(text.substring(0, common))) {
      return false;
    }
    textToSkip = textToSkip.substring(common);
    // The event with the finish reason may contain text that was already sent.
    boolean isUnsentFinish = textToSkip.isEmpty() && event.isFinish() && !finishEventSent;
    if (common < text.length() || isUnsentFinish) {
      send(event.toDataWithText(text.substring(common)));
    }
    return true;
  }

  /**
   * Ends the answer, or sends it if it is not streamed.
   *
   * @return false if the answer is shorter than the part already sent, or if it is not streamed
   *     although events were already sent
   * @throws IOException if the caller has disconnected
   */
  boolean complete(HttpHead head, byte[] body) throws IOException {
    if (!textToSkip.isEmpty()) {
      return false;
    }
    String type = head.header("Content-Type").orElse("application/json");
    if (type.startsWith("text/event-stream")) {
      sink.endStream();
      return true;
    }
    if (!isEmpty()) {
      return false;
    }
    sink.sendComplete(head.status(), type, body);
    return true;
  }

  private void send(String data) throws IOException {
    sentCount++;
    if (restartable) {
      sentEvents.add(data);
    }
    sink.sendEvent(data);
  }
}
