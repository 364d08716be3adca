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
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;

/**
 * Chooses among the entry instances that answer {@code /readyz} with status 200, like the
 * platform's load balancer; chooses among all entry instances if none does.
 */
public final class Balancer implements IntFunction<URI>, AutoCloseable {
  /**
   * Shorter than the default stop notice of deployments (200 ms), for which a stopping instance
   * fails its readiness check before it refuses requests.
   */
  private static final long PROBE_PERIOD_MILLIS = 50;

  private static final long PROBE_TIMEOUT_MILLIS = 500;

  private final PooledHttpClient httpClient;
  private final List<URI> entries;
  private final java.util.Set<URI> unready = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "balancer");
            thread.setDaemon(true);
            return thread;
          });

  /** Creates a balancer that probes the entry instances until it is closed. */
  public Balancer(PooledHttpClient httpClient, List<URI> entries) {
    this.httpClient = httpClient;
    this.entries = List.copyOf(entries);
    timer.scheduleAtFixedRate(this::probeAll, 0, PROBE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public URI apply(int number) {
    List<URI> ready = entries.stream().filter(entry -> !unready.contains(entry)).toList();
    List<URI> choice = ready.isEmpty() ? entries : ready;
    return choice.get(number % choice.size());
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private void probeAll() {
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(PROBE_TIMEOUT_MILLIS);
    for (URI entry : entries) {
      httpClient
          .sendAsync(HttpCall.get(entry.resolve("/readyz"), deadline))
          .thenAccept(result -> recordReadiness(entry, result));
    }
  }

  private void recordReadiness(URI entry, HttpResult result) {
    if (result instanceof HttpResult.Answered answered && answered.head().status() == 200) {
      unready.remove(entry);
    } else {
      unready.add(entry);
    }
  }
}
