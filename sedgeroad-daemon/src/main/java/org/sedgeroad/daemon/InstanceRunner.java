package org.sedgeroad.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import sun.misc.Signal;

/** Runs an instance until the process gets a stop signal such as SIGTERM, and then closes it. */
public final class InstanceRunner {
  /** Status of a process that a signal has ended, less the number of the signal. */
  private static final int SIGNAL_STATUS = 128;

  private final Runnable close;
  private final AtomicBoolean closing = new AtomicBoolean();
  private final CountDownLatch stopped = new CountDownLatch(1);

  private InstanceRunner(Runnable close) {
    this.close = close;
  }

  /**
   * Starts an instance and returns after it has been closed: on a stop signal, or when the virtual
   * machine ends for another reason.
   *
   * @param start starts the instance
   * @param close closes the instance in an orderly way
   */
  public static void run(Runnable start, Runnable close) {
    InstanceRunner runner = new InstanceRunner(close);
    // Not left to the shutdown hook: during the shutdown of the virtual machine, the log manager
    // removes all handlers, so that nothing of the stop would be logged.
    Signal.handle(new Signal("TERM"), runner::stop);
    Signal.handle(new Signal("INT"), runner::stop);
    Runtime.getRuntime().addShutdownHook(new Thread(runner::closeOnce, "planned-stop"));
    start.run();
    try {
      runner.stopped.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void stop(Signal signal) {
    closeOnce();
    System.exit(SIGNAL_STATUS + signal.getNumber());
  }

  private void closeOnce() {
    if (!closing.getAndSet(true)) {
      close.run();
      LogSetup.flush();
      stopped.countDown();
    }
  }
}
