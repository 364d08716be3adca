package org.sedgeroad.gateway;

import java.util.List;
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
 * @param promptParts ids of the parts of the prompt in order; empty if the request has no prompt or
 *     does not state its parts. The last part belongs to this request or its session alone
 * @param prompt the same parts with their sizes, empty if these are not stated
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
    List<String> promptParts,
    PromptPrefix prompt,
    String lastEventId,
    long arrivedNanos,
    long deadlineNanos) {

  /**
   * Copies the headers and the prompt parts.
   *
   * @throws NullPointerException if a component is null
   */
  public ClientRequest {
    Objects.requireNonNull(id);
    Objects.requireNonNull(method);
    Objects.requireNonNull(target);
    headers = Map.copyOf(headers);
    Objects.requireNonNull(body);
    promptParts = List.copyOf(promptParts);
    Objects.requireNonNull(prompt);
    Objects.requireNonNull(lastEventId);
  }

  /** Returns the request line and the id; headers may hold the key of a workspace. */
  @Override
  public String toString() {
    return method + " " + target + ", id " + id;
  }
}
