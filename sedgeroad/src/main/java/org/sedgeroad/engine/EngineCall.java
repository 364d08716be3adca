package org.sedgeroad.engine;

import java.net.URI;
import java.util.Map;
import java.util.Objects;
import org.sedgeroad.ServiceClass;

/**
 * One call to an endpoint. No component may be null.
 *
 * @param method request method
 * @param address absolute address at the endpoint
 * @param headers additional headers
 * @param body request body; must not be modified
 * @param requestId name of the run, unique for each sending
 * @param serviceClass whether the work is live or batch
 * @param idempotent whether the call may be sent again by the transport
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

  /** Copies the headers. */
  public EngineCall {
    Objects.requireNonNull(method);
    Objects.requireNonNull(address);
    headers = Map.copyOf(headers);
    Objects.requireNonNull(body);
    Objects.requireNonNull(requestId);
    Objects.requireNonNull(serviceClass);
  }
}
