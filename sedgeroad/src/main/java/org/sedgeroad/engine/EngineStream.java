package org.sedgeroad.engine;

/** A running call at an endpoint. */
public interface EngineStream extends AutoCloseable {

  /** Cancels the call; the listener receives a failure unless the call has ended. */
  @Override
  void close();
}
