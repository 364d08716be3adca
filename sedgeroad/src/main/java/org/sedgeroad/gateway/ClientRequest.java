package org.sedgeroad.gateway;

import java.util.Map;
import java.util.Objects;

/**
 * A request of a client, forwarded unchanged. No component may be null.
 *
 * @param id id of the client's attempt
 * @param method request method
 * @param target path with query, as received
 * @param headers headers to forward, without hop-by-hop headers
 * @param body complete body; must not be modified
 * @param lastEventId id of the last event that the client has received, empty to get the stream
 *     from the start
 * @param arrivedNanos monotonic time of arrival, in nanoseconds
 * @param deadlineNanos monotonic time until which the client waits, in nanoseconds
 */
public record ClientRequest(
    String id,
    String method,
    String target,
    Map<String, String> headers,
    byte[] body,
    String lastEventId,
    long arrivedNanos,
    long deadlineNanos) {

  /**
   * Copies the headers.
   *
   * @throws NullPointerException if a component is null
   */
  public ClientRequest {
    Objects.requireNonNull(id);
    Objects.requireNonNull(method);
    Objects.requireNonNull(target);
    headers = Map.copyOf(headers);
    Objects.requireNonNull(body);
    Objects.requireNonNull(lastEventId);
  }
}
