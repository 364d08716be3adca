package org.sedgeroad.engine;

/** Starts calls at endpoints. */
@FunctionalInterface
public interface EngineClient {

  /** Starts a call. Closing the result cancels it at the endpoint; no effect once it has ended. */
  EngineStream start(EngineCall call, EngineListener listener);
}
