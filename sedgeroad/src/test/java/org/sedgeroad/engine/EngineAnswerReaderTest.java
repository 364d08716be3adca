package org.sedgeroad.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.HttpHead;

/** Guards against incomplete answers taken for complete ones, and against false failures. */
class EngineAnswerReaderTest {
  private final List<String> seen = new ArrayList<>();
  private final EngineAnswerReader reader =
      new EngineAnswerReader(
          new EngineListener() {
            @Override
            public void onHead(HttpHead head) {
              seen.add("head " + head.status());
            }

            @Override
            public void onEvent(String data) {
              seen.add(data);
            }

            @Override
            public void onComplete(byte[] body) {
              seen.add("whole " + body.length);
            }

            @Override
            public void onFailure(EngineFailure failure) {
              seen.add(failure.getClass().getSimpleName());
            }
          });

  private void receive(String text) {
    reader.onBytes(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
  }

  private void head(int status, String name, String value) {
    reader.onHead(new HttpHead(status, Map.of(name, value)));
  }

  @Nested
  class Streams {
    /** Guards against a truncated stream that is taken for a complete one. */
    @Test
    void withoutEndMarkerAreBroken() {
      head(200, "Content-Type", "text/event-stream");
      receive("data: a\n\n");
      reader.onEnd();
      assertEquals(List.of("head 200", "a", "Broken"), seen);
    }

    /** Guards against a failure reported for a stream whose events have all been received. */
    @Test
    void withEndMarkerAreCompleteEvenIfTheConnectionBreaks() {
      head(200, "Content-Type", "text/event-stream");
      receive("data: a\n\ndata: [DO");
      receive("NE]\n\ndata: stray\n\n");
      reader.onFailure(new HttpFailure.Broken("reset"));
      assertEquals(List.of("head 200", "a", "whole 0"), seen);
    }
  }

  @Nested
  class Refusals {
    /** Guards against passing the answer of a draining endpoint on to the caller. */
    @Test
    void ofDrainingEndpointsDidNotRun() {
      head(503, "X-Draining", "true");
      receive("{}");
      reader.onEnd();
      assertEquals(List.of("NotRun"), seen);
    }

    /** Guards against reporting a request as not run after it was sent. */
    @Test
    void areNotRunOnlyIfNothingWasSent() {
      reader.onFailure(new HttpFailure.NotSent("refused"));
      reader.onFailure(new HttpFailure.Broken("reset"));
      assertEquals(List.of("NotRun", "Broken"), seen);
    }
  }
}
