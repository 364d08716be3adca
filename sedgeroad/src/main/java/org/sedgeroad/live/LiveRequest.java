package org.sedgeroad.live;

import java.util.Map;
import java.util.Objects;
import org.sedgeroad.route.RequestShape;

/**
 * Live request, whose caller is waiting for the answer.
 *
 * @param id unique id
 * @param method request method
 * @param path path with query
 * @param headers headers to send to the endpoint
 * @param body request body; must not be modified
 * @param key the caller's idempotency key, empty if none
 * @param deterministic whether a second run would give the same answer
 * @param deadlineNanos monotonic deadline in nanoseconds
 * @param shape properties that matter for routing
 */
public record LiveRequest(
    String id,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    String key,
    boolean deterministic,
    long deadlineNanos,
    RequestShape shape) {

  /**
   * Copies the headers.
   *
   * @throws NullPointerException if {@code id}, {@code headers} or {@code shape} is null
   */
  public LiveRequest {
    Objects.requireNonNull(id);
    headers = Map.copyOf(headers);
    Objects.requireNonNull(shape);
  }
}
