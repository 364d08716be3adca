package org.sedgeroad.gateway;

/** A call to an endpoint that is under way. */
@FunctionalInterface
public interface EndpointExchange extends AutoCloseable {

  /** Cancels the call at the endpoint; no effect once it has ended. */
  @Override
  void close();
}
