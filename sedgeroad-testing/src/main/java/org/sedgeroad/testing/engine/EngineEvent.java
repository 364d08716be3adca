package org.sedgeroad.testing.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import org.sedgeroad.testing.http.Answers;

/**
 * An entry of an engine's history. No component may be null.
 *
 * @param index number of the entry, from 0
 * @param type what happened
 * @param requestId id of the request, empty for a crash
 * @param serviceClass value of {@code X-Service-Class}, may be empty
 * @param fingerprint fingerprint of the prompt
 * @param queueWaitMicros wait for a slot in microseconds, 0 before it is known
 * @param tokens tokens made so far
 * @param time wall-clock time
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
    /** The request was refused. */
    REJECT,
    /** The request got a slot. */
    START,
    /** The first token was made. */
    FIRST_TOKEN,
    /** The last token was made. */
    FINISH,
    /** The caller closed the connection, or a resume replaced the run. */
    CANCEL,
    /** The engine lost all its runs. */
    CRASH
  }

  ObjectNode toJson() {
    return Answers.MAPPER
        .createObjectNode()
        .put("index", index)
        .put("event", type.name().toLowerCase(java.util.Locale.ROOT))
        .put("request_id", requestId)
        .put("service_class", serviceClass)
        .put("fingerprint", AnswerText.toText(fingerprint))
        .put("queue_wait_micros", queueWaitMicros)
        .put("tokens", tokens)
        .put("time_micros", ChronoUnit.MICROS.between(Instant.EPOCH, time));
  }
}
