package org.sedgeroad.testing.live;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.sedgeroad.live.AnswerSink;
import org.sedgeroad.live.LiveFailure;

/** Records the text and the end of a streamed completion as a caller would receive them. */
final class RecordingSink implements AnswerSink {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  final StringBuilder text = new StringBuilder();
  Runnable onEvent = () -> {};
  boolean ended;
  LiveFailure failure;

  @Override
  public void sendEvent(String data) {
    try {
      text.append(MAPPER.readTree(data).path("choices").path(0).path("text").asText());
    } catch (JsonProcessingException invalid) {
      throw new IllegalStateException(invalid);
    }
    onEvent.run();
  }

  @Override
  public void endStream() {
    ended = true;
  }

  @Override
  public void sendComplete(int status, String contentType, byte[] body) {
    throw new IllegalStateException("expected a stream, got a whole answer with status " + status);
  }

  @Override
  public void fail(LiveFailure reason) {
    failure = reason;
  }
}
