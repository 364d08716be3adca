package org.sedgeroad;

/** A thread that runs tasks one after the other. */
public interface EventLoop {

  /** Runs a task soon on the loop's thread; may be called from any thread. */
  void execute(Runnable task);

  /**
   * Runs a task on the loop's thread once a monotonic deadline has passed. Closing the result
   * before that prevents it.
   *
   * @param deadlineNanos reading of the monotonic clock, in nanoseconds
   * @param task the task
   */
  Timeout at(long deadlineNanos, Runnable task);

  /** A task that has been scheduled. */
  interface Timeout extends AutoCloseable {
    /** A timeout that has no task. */
    Timeout NONE = () -> {};

    @Override
    void close();
  }
}
