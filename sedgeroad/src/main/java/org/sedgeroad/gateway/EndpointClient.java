package org.sedgeroad.gateway;

/** Sends requests to endpoints. */
@FunctionalInterface
public interface EndpointClient {

  /**
   * Starts a call. Closing the returned exchange cancels the request at the endpoint; the listener
   * then receives a failure.
   */
  EndpointExchange start(EndpointCall call, EndpointAnswerListener listener);
}
