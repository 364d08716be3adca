package org.sedgeroad.gateway;

import java.util.Map;

/**
 * One attempt to run a request at one endpoint. No component may be null.
 *
 * @param endpoint the endpoint
 * @param id id of the client's attempt or of the batch item
 * @param method request method
 * @param target path with query
 * @param headers headers to forward
 * @param body complete body; must not be modified
 * @param hidesCredentials whether the key and the workspace in the headers must not be forwarded
 * @param workspace name of the workspace on whose behalf the request is sent, empty if none
 * @param lastEventId id of the event after which the stream is to resume, empty to get it from the
 *     start
 * @param deadlineNanos monotonic time at which the endpoint is to stop, in nanoseconds
 */
public record EndpointCall(
    ServiceEndpoint endpoint,
    String id,
    String method,
    String target,
    Map<String, String> headers,
    byte[] body,
    boolean hidesCredentials,
    String workspace,
    String lastEventId,
    long deadlineNanos) {

  /** Returns the request line and the endpoint; headers may hold the key of a workspace. */
  @Override
  public String toString() {
    return method + " " + target + " at " + endpoint.name() + ", id " + id;
  }
}
