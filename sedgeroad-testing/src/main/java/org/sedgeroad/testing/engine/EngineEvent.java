package org.sedgeroad.testing.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import org.sedgeroad.testing.http.Answers;

/**
 * An event in an engine's history. No component may be null.
 *
 * @param index index of the event, from 0
 * @param type type of the event
 * @param requestId id of the request, empty for a crash
 * @param serviceClass value of {@code X-Service-Class}, may be empty
 * @param fingerprint fingerprint of the prompt
 * @param queueWaitMicros wait for a slot in microseconds, 0 before the request got one
 * @param tokens number of tokens produced so far, including those of a run that was resumed
 * @param time wall-clock time of the event
 */
public record EngineEvent(
    long index,
    Type type,
    String requestId,
    String serviceClass,
    long fingerprint,
    long queueWaitMicros,
    int tokens,
    Instant time) {

  /** What happened to a request or the engine. */
  public enum Type {
    /** The request was accepted. */
    ACCEPT,
    /** The request was rejected. */
    REJECT,
    /** The request got a slot. */
    START,
    /** The first token was produced. */
    FIRST_TOKEN,
    /** The last token was produced. */
    FINISH,
    /** The caller closed the connection, or a resumed run replaced this one. */
    CANCEL,
    /** The engine crashed and lost all its runs. */
    CRASH
  }

  ObjectNode toJson() {
    return Answers.MAPPER
        .createObjectNode()
        .put("index", index)
        .put("event", type.name().toLowerCase(java.util.Locale.ROOT))
        .put("request_id", requestId)
        .put("service_class", serviceClass)
        .put("fingerprint", AnswerText.toHex(fingerprint))
        .put("queue_wait_micros", queueWaitMicros)
        .put("tokens", tokens)
        .put("time_micros", ChronoUnit.MICROS.between(Instant.EPOCH, time));
  }
}
