package org.sedgeroad.job;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Runs blocking calls on a pool and hands their outcome to the runner's thread. Exactly one of the
 * two callbacks of each call runs, also when the call throws or the pool refuses it.
 */
final class BackgroundCalls {
  private final Executor pool;
  private final Consumer<Runnable> inbox;
  private int running;

  BackgroundCalls(Executor pool, Consumer<Runnable> inbox) {
    this.pool = pool;
    this.inbox = inbox;
  }

  /** Returns the number of calls without an outcome. Used by the runner's thread only. */
  int running() {
    return running;
  }

  <T> void call(Supplier<T> operation, Consumer<T> done, Consumer<Throwable> failed) {
    running++;
    try {
      pool.execute(() -> inbox.accept(outcome(operation, done, failed)));
    } catch (RejectedExecutionException refused) {
      inbox.accept(ended(() -> failed.accept(refused)));
    }
  }

  private <T> Runnable outcome(
      Supplier<T> operation, Consumer<T> done, Consumer<Throwable> failed) {
    try {
      T result = operation.get();
      return ended(() -> done.accept(result));
    } catch (RuntimeException | Error failure) {
      return ended(() -> failed.accept(failure));
    }
  }

  private Runnable ended(Runnable callback) {
    return () -> {
      running--;
      callback.run();
    };
  }
}
