package org.sedgeroad.http;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** An event loop that runs its tasks on one of Undertow's I/O threads. */
public final class IoEventLoop implements EventLoop {
  private final XnioIoThread thread;
  private final MonotonicClock clock;

  /** Creates an event loop on a thread. Its deadlines are readings of the clock. */
  public IoEventLoop(XnioIoThread thread, MonotonicClock clock) {
    this.thread = thread;
    this.clock = clock;
  }

  @Override
  public void execute(Runnable task) {
    try {
      thread.execute(task);
    } catch (RejectedExecutionException rejected) {
      // The thread ends only when the process stops, after the last log lines are written. The task
      // no longer matters and is dropped.
    }
  }

  @Override
  public Timeout scheduleAt(long deadlineNanos, Runnable task) {
    long delayMillis = Math.max(0, (deadlineNanos - clock.nanos() + 999_999) / 1_000_000L);
    try {
      XnioExecutor.Key key = thread.executeAfter(task, delayMillis, TimeUnit.MILLISECONDS);
      return key::remove;
    } catch (RejectedExecutionException rejected) {
      // As in execute().
      return Timeout.NONE;
    }
  }
}
