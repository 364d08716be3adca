package org.sedgeroad.daemon;

import java.util.concurrent.CountDownLatch;

/** Runs an instance until the process gets a stop signal such as SIGTERM, and then closes it. */
public final class InstanceRunner {
  private InstanceRunner() {}

  /**
   * Starts an instance and returns after it has been closed. On a stop signal, the virtual machine
   * runs a shutdown hook that closes the instance.
   *
   * @param start starts the instance
   * @param close closes the instance in an orderly way
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
