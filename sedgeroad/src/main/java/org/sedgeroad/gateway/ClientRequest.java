package org.sedgeroad.gateway;

import java.util.Map;
import java.util.Objects;

/**
 * A request of a client, forwarded as it is. No component may be null.
 *
 * @param id id of the client's attempt
 * @param method request method
 * @param target path with query, as received
 * @param headers headers to forward, without those of one connection
 * @param body whole body; must not be modified
 * @param lastEventId id of the last event that the client has, empty for a whole stream
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

  /** Copies the headers and checks that no component is null. */
  public ClientRequest {
    Objects.requireNonNull(id);
    Objects.requireNonNull(method);
    Objects.requireNonNull(target);
    headers = Map.copyOf(headers);
    Objects.requireNonNull(body);
    Objects.requireNonNull(lastEventId);
  }
}
