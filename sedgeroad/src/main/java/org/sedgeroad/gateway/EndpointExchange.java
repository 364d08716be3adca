package org.sedgeroad.gateway;

/** A call to an endpoint that is in progress. */
@FunctionalInterface
public interface EndpointExchange extends AutoCloseable {

  /** Cancels the call at the endpoint; has no effect once the call has ended. */
  @Override
  void close();
}
