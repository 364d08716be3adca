package org.sedgeroad.live;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.engine.EngineFailure;
import org.sedgeroad.engine.EngineListener;
import org.sedgeroad.http.HttpHead;

/**
 * Queue of the events of one live request. Endpoints and the caller's connection add events from
 * any thread; the request's thread removes them.
 */
public final class LiveEventQueue {
  private final BlockingQueue<LiveEvent> queue = new LinkedBlockingQueue<>();

  /** Adds the event that the caller closed its connection. Called from any thread. */
  public void callerDisconnected() {
    queue.add(new LiveEvent.CallerDisconnected());
  }

  /**
   * Waits for the next event; returns null if there is none before the deadline, a monotonic time
   * in nanoseconds.
   */
  LiveEvent next(long deadlineNanos, MonotonicClock clock) throws InterruptedException {
    return queue.poll(Math.max(0, deadlineNanos - clock.nanos()), TimeUnit.NANOSECONDS);
  }

  /** Returns a listener that adds its events to this queue with the number of the attempt. */
  EngineListener listener(int attempt) {
    return new EngineListener() {
      @Override
      public void onHead(HttpHead head) {
        queue.add(new LiveEvent.Head(attempt, head));
      }

      @Override
      public void onEvent(String data) {
        queue.add(new LiveEvent.Data(attempt, data));
      }

      @Override
      public void onComplete(byte[] body) {
        queue.add(new LiveEvent.Complete(attempt, body));
      }

      @Override
      public void onFailure(EngineFailure failure) {
        queue.add(new LiveEvent.Failed(attempt, failure));
      }
    };
  }
}
