package org.sedgeroad.job;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Runs blocking calls on a thread pool and passes their results to the runner's thread. Exactly one
 * of the two callbacks of each call runs, even if the call throws or the pool rejects it.
 */
final class BackgroundCalls {
  private final Executor pool;
  private final Consumer<Runnable> inbox;
  private int pendingCalls;

  BackgroundCalls(Executor pool, Consumer<Runnable> inbox) {
    this.pool = pool;
    this.inbox = inbox;
  }

  /** Returns the number of calls whose callback has not run yet. For the runner's thread only. */
  int pendingCalls() {
    return pendingCalls;
  }

  /**
   * Runs an operation on the pool and, when it ends, puts one of the callbacks into the inbox.
   *
   * @param done receives the result
   * @param failed receives what the operation threw, or the rejection by the pool
   */
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
