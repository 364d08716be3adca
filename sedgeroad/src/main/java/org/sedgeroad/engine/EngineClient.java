package org.sedgeroad.engine;

/** Sends calls to endpoints. */
@FunctionalInterface
public interface EngineClient {

  /**
   * Starts a call and returns a handle to it. Closing the handle cancels the call at the endpoint,
   * and has no effect after the call has ended.
   */
  EngineCallHandle start(EngineCall call, EngineListener listener);
}
