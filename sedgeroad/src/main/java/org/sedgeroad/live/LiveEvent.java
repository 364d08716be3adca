package org.sedgeroad.live;

import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.http.HttpHead;

/** Event of a live request that its thread processes. */
sealed interface LiveEvent {

  /** Returns the number of the attempt that the event belongs to, 0 if none. */
  int attempt();

  /** The status and the headers were received. */
  record Head(int attempt, HttpHead head) implements LiveEvent {}

  /** One event of a stream was received. */
  record Data(int attempt, String data) implements LiveEvent {}

  /** The answer is complete. */
  record Complete(int attempt, byte[] body) implements LiveEvent {}

  /** The attempt failed. */
  record Failed(int attempt, EngineFailure failure) implements LiveEvent {}

  /** The caller closed its connection. */
  record CallerDisconnected() implements LiveEvent {
    @Override
    public int attempt() {
      return 0;
    }
  }
}
