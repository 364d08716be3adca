package org.sedgeroad.live;

import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.http.HttpHead;

/** What happens to a live request while its thread waits. */
sealed interface LiveEvent {

  /** Returns the number of the attempt that it belongs to, 0 if none. */
  int attempt();

  /** Status and headers came. */
  record Head(int attempt, HttpHead head) implements LiveEvent {}

  /** One event of a stream came. */
  record Data(int attempt, String data) implements LiveEvent {}

  /** The answer is whole. */
  record Whole(int attempt, byte[] body) implements LiveEvent {}

  /** The attempt failed. */
  record Failed(int attempt, EngineFailure failure) implements LiveEvent {}

  /** The caller closed its connection. */
  record CallerGone() implements LiveEvent {
    @Override
    public int attempt() {
      return 0;
    }
  }
}
