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
  private int pendingCalls;

  BackgroundCalls(Executor pool, Consumer<Runnable> inbox) {
    this.pool = pool;
    this.inbox = inbox;
  }

  /** Returns the number of calls without an outcome. Used by the runner's thread only. */
  int pendingCalls() {
    return pendingCalls;
  }

  <T> void call(Supplier<T> operation, Consumer<T> done, Consumer<Throwable> failed) {
    pendingCalls++;
    try {
      pool.execute(() -> inbox.accept(runOperation(operation, done, failed)));
    } catch (RejectedExecutionException refused) {
      inbox.accept(completion(() -> failed.accept(refused)));
    }
  }

  private <T> Runnable runOperation(
      Supplier<T> operation, Consumer<T> done, Consumer<Throwable> failed) {
    try {
      T result = operation.get();
      return completion(() -> done.accept(result));
    } catch (RuntimeException | Error failure) {
      return completion(() -> failed.accept(failure));
    }
  }

  private Runnable completion(Runnable callback) {
    return () -> {
      pendingCalls--;
      callback.run();
    };
  }
}
