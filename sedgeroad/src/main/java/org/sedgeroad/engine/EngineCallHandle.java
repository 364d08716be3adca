package org.sedgeroad.engine;

/** Handle to a call in progress at an endpoint. */
public interface EngineCallHandle extends AutoCloseable {

  /** Cancels the call. The listener receives a failure unless the call has ended. */
  @Override
  void close();
}
