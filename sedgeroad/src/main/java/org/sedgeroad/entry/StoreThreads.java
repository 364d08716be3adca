package org.sedgeroad.entry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Threads that wait for the store. Thread-safe. */
final class StoreThreads implements Executor {
  /**
   * Number of threads: one for each of the five kinds that are listed at startup (routes,
   * endpoints, instances, jobs and quarantines), and one for the registration.
   */
  private static final int THREADS = 6;

  /**
   * Time that the calls in progress have at the end of a stop, in milliseconds; ten times the usual
   * duration of a call, and a part of the time that the settings reserve for closing connections.
   */
  private static final long END_MILLIS = 300;

  private final ThreadPoolExecutor pool =
      new ThreadPoolExecutor(THREADS, THREADS, 1, TimeUnit.MINUTES, new LinkedBlockingQueue<>());

  @Override
  public void execute(Runnable task) {
    pool.execute(task);
  }

  /**
   * Ends the threads after the calls in progress, with which the instance stores the results of the
   * jobs that it leaves; an item whose result is not stored runs again.
   *
   * @param jobsLeft is counted down when these calls have been submitted
   */
  void stop(CountDownLatch jobsLeft) {
    try {
      jobsLeft.await(END_MILLIS, TimeUnit.MILLISECONDS);
      pool.shutdown();
      pool.awaitTermination(END_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    pool.shutdownNow();
  }
}
