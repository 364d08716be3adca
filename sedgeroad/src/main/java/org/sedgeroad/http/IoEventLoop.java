package org.sedgeroad.http;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** An event loop on an I/O thread of Undertow. */
public final class IoEventLoop implements EventLoop {
  private final XnioIoThread thread;
  private final MonotonicClock clock;

  /** Creates a loop on a thread. */
  public IoEventLoop(XnioIoThread thread, MonotonicClock clock) {
    this.thread = thread;
    this.clock = clock;
  }

  @Override
  public void execute(Runnable task) {
    try {
      thread.execute(task);
    } catch (RejectedExecutionException rejected) {
      // The process stops and its last lines are logged; what comes now does not matter.
    }
  }

  @Override
  public Timeout at(long deadlineNanos, Runnable task) {
    long delayMillis = Math.max(0, (deadlineNanos - clock.nanos() + 999_999) / 1_000_000L);
    try {
      XnioExecutor.Key key = thread.executeAfter(task, delayMillis, TimeUnit.MILLISECONDS);
      return key::remove;
    } catch (RejectedExecutionException rejected) {
      // As above.
      return Timeout.NONE;
    }
  }
}
