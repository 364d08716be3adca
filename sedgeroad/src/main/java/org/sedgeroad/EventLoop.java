package org.sedgeroad;

/** A single thread that runs tasks one after the other. */
public interface EventLoop {

  /**
   * Submits a task to the thread of the event loop. May be called from any thread.
   *
   * @param task task that must not block
   */
  void execute(Runnable task);

  /**
   * Schedules a task to run on the thread of the event loop once a deadline has passed.
   *
   * @param deadlineNanos deadline as a reading of the monotonic clock, in nanoseconds
   * @param task task that must not block
   * @return the scheduled task; closing it before the deadline cancels it
   */
  Timeout scheduleAt(long deadlineNanos, Runnable task);

  /** A scheduled task. */
  interface Timeout extends AutoCloseable {
    /** A timeout without a task; closing it has no effect. */
    Timeout NONE = () -> {};

    /** Cancels the task if it has not started; otherwise has no effect. */
    @Override
    void close();
  }
}
