package org.sedgeroad.daemon;

import java.util.concurrent.CountDownLatch;

/** Runs an instance until the process is told to stop, and then closes it. */
public final class PlannedStop {
  private PlannedStop() {}

  /**
   * Starts an instance and returns once it has been closed after SIGTERM, on which the virtual
   * machine runs its shutdown hooks.
   *
   * @param start starts the instance
   * @param close closes it in an orderly way
   */
  public static void run(Runnable start, Runnable close) {
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  close.run();
                  LogSetup.flush();
                  stopped.countDown();
                },
                "planned-stop"));
    start.run();
    try {
      stopped.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
