package org.sedgeroad.engine;

import java.net.URI;
import java.util.Map;
import java.util.Objects;
import org.sedgeroad.ServiceClass;

/**
 * A call to an endpoint. No component may be null.
 *
 * @param method HTTP request method
 * @param address absolute URI at the endpoint
 * @param headers additional headers
 * @param body request body; must not be modified
 * @param requestId id of the run, a new one each time the work is sent
 * @param serviceClass whether the work is live or batch
 * @param idempotent whether the work may run more than once; if not, the call is sent on a new
 *     connection instead of a pooled one
 * @param deadlineNanos monotonic deadline in nanoseconds
 */
public record EngineCall(
    String method,
    URI address,
    Map<String, String> headers,
    byte[] body,
    String requestId,
    ServiceClass serviceClass,
    boolean idempotent,
    long deadlineNanos) {

  /**
   * Creates a call with a copy of the headers.
   *
   * @throws NullPointerException if a component is null
   */
  public EngineCall {
    Objects.requireNonNull(method);
    Objects.requireNonNull(address);
    headers = Map.copyOf(headers);
    Objects.requireNonNull(body);
    Objects.requireNonNull(requestId);
    Objects.requireNonNull(serviceClass);
  }
}
