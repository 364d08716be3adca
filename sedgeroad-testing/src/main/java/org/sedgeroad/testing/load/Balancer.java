package org.sedgeroad.testing.load;

import java.net.URI;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpCaller;
import org.sedgeroad.http.HttpResult;

/** Chooses among the entry instances that answer {@code /readyz}, as the platform's balancer. */
public final class Balancer implements IntFunction<URI>, AutoCloseable {
  /** Below the notice that a stopping instance gives by default in deployments, 200 ms. */
  private static final long PERIOD_MILLIS = 50;

  private static final long ANSWER_MILLIS = 500;

  private final HttpCaller caller;
  private final List<URI> all;
  private final java.util.Set<URI> unready = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "balancer");
            thread.setDaemon(true);
            return thread;
          });

  /** Creates a balancer that asks the instances until it is closed. */
  public Balancer(HttpCaller caller, List<URI> all) {
    this.caller = caller;
    this.all = List.copyOf(all);
    timer.scheduleAtFixedRate(this::ask, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public URI apply(int number) {
    List<URI> ready = all.stream().filter(entry -> !unready.contains(entry)).toList();
    List<URI> choice = ready.isEmpty() ? all : ready;
    return choice.get(number % choice.size());
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private void ask() {
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(ANSWER_MILLIS);
    for (URI entry : all) {
      caller
          .sendLater(HttpCall.get(entry.resolve("/readyz"), deadline))
          .thenAccept(result -> note(entry, result));
    }
  }

  private void note(URI entry, HttpResult result) {
    if (result instanceof HttpResult.Answered answered && answered.head().status() == 200) {
      unready.remove(entry);
    } else {
      unready.add(entry);
    }
  }
}
