package org.sedgeroad.testing.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import org.sedgeroad.testing.http.Answers;

/**
 * A call that the service executed. No component may be null.
 *
 * @param requestId value of {@code X-Request-Id}, may be empty
 * @param method request method
 * @param path path with the query, if there is one
 * @param bodyHash XXH3 of the body, 16 hexadecimal digits
 * @param time wall-clock time of the execution
 */
public record Execution(
    String requestId, String method, String path, String bodyHash, Instant time) {

  ObjectNode toJson() {
    return Answers.MAPPER
        .createObjectNode()
        .put("request_id", requestId)
        .put("method", method)
        .put("path", path)
        .put("body_hash", bodyHash)
        .put("time_micros", ChronoUnit.MICROS.between(Instant.EPOCH, time));
  }
}
