package org.sedgeroad.testing.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.HttpHead;
import org.sedgeroad.http.HttpListener;
import org.sedgeroad.http.LineSplitter;
import org.sedgeroad.testing.engine.AnswerText;

/** Reads the streamed answer to one live request, records its times and checks its text. */
final class LiveListener implements HttpListener {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DATA = "data: ";

  private final PlannedRequest request;
  private final URI target;
  // Intended start of the request by the monotonic clock and by the wall clock.
  private final long intendedStartNanos;
  private final long intendedStartMicros;
  // Receives the time between two successive tokens, in nanoseconds.
  private final LongConsumer tokenGapConsumer;
  private final Consumer<LiveRecord> recordConsumer;
  private final LineSplitter lines = new LineSplitter(this::readLine);
  private final StringBuilder text = new StringBuilder();
  private final StringBuilder errorBody = new StringBuilder();
  private HttpHead head;
  private long firstTokenNanos = -1;
  private long lastTokenNanos;
  private boolean doneMarkerSeen;
  private String errorMessage = "";
  // Whether the request was run, as the error states it; empty without an error.
  private String workState = "";

  LiveListener(
      PlannedRequest request,
      URI target,
      long intendedStartNanos,
      long intendedStartMicros,
      LongConsumer tokenGapConsumer,
      Consumer<LiveRecord> recordConsumer) {
    this.request = request;
    this.target = target;
    this.intendedStartNanos = intendedStartNanos;
    this.intendedStartMicros = intendedStartMicros;
    this.tokenGapConsumer = tokenGapConsumer;
    this.recordConsumer = recordConsumer;
  }

  @Override
  public void onHead(HttpHead received) {
    head = received;
  }

  @Override
  public void onBytes(ByteBuffer bytes) {
    lines.accept(bytes);
  }

  @Override
  public void onEnd() {
    lines.finish();
    if (head.status() != 200) {
      readError(errorBody.toString());
      end(Outcome.ERROR, errorMessage.isEmpty() ? errorBody.toString() : errorMessage);
    } else if (!errorMessage.isEmpty()) {
      end(Outcome.ERROR, errorMessage);
    } else if (!doneMarkerSeen) {
      end(Outcome.CUT, "ended without its end marker");
    } else if (!text.toString().equals(AnswerText.of(request.prompt(), request.answerTokens()))) {
      end(Outcome.WRONG, "not the answer to this request");
    } else {
      end(Outcome.WHOLE, "");
    }
  }

  @Override
  public void onFailure(HttpFailure failure) {
    boolean sent = !(failure instanceof HttpFailure.NotSent);
    end(sent ? Outcome.CUT : Outcome.NOT_SENT, failure.reason());
  }

  private void readLine(String line) {
    if (head.status() != 200) {
      errorBody.append(line);
    } else if (line.equals(DATA + "[DONE]")) {
      doneMarkerSeen = true;
    } else if (line.startsWith(DATA)) {
      readEvent(line.substring(DATA.length()));
    }
  }

  private void readEvent(String json) {
    long now = MonotonicClock.SYSTEM.nanos();
    try {
      JsonNode event = MAPPER.readTree(json);
      if (event.has("error")) {
        readError(json);
        return;
      }
      String part = event.path("choices").path(0).path("text").asText("");
      if (!part.isEmpty()) {
        text.append(part);
        if (firstTokenNanos < 0) {
          firstTokenNanos = now;
        } else {
          tokenGapConsumer.accept(now - lastTokenNanos);
        }
        lastTokenNanos = now;
      }
    } catch (JsonProcessingException invalid) {
      errorMessage = "not JSON: " + json;
    }
  }

  private void readError(String json) {
    try {
      JsonNode node = MAPPER.readTree(json).path("error");
      errorMessage = node.path("message").asText(json);
      workState = node.path("work").asText("");
    } catch (JsonProcessingException invalid) {
      errorMessage = json;
    }
  }

  private void end(Outcome outcome, String detail) {
    long total = MonotonicClock.SYSTEM.nanos() - intendedStartNanos;
    String header = head == null ? "" : head.header("X-Work").orElse("");
    recordConsumer.accept(
        new LiveRecord(
            request,
            target,
            outcome,
            head == null ? 0 : head.status(),
            workState.isEmpty() ? header : workState,
            head == null ? "" : head.header("X-Request-Id").orElse(""),
            intendedStartMicros,
            firstTokenNanos < 0 ? -1 : firstTokenNanos - intendedStartNanos,
            total,
            detail));
  }
}
