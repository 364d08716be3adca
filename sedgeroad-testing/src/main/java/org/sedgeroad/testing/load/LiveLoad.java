package org.sedgeroad.testing.load;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.testing.deployment.ApiClient;

/**
 * Open-loop load that sends planned live requests at their intended times, whether earlier ones
 * have ended or not, and collects the results that the callers see. One thread starts the requests;
 * the answers are read on the I/O threads of the {@link PooledHttpClient}.
 */
public final class LiveLoad {
  private static final long GRACE_MILLIS = 5_000;

  private final PooledHttpClient httpClient;
  private final IntFunction<URI> targets;
  private final String apiKey;
  private final String model;
  private final List<PlannedRequest> plan;
  private final long timeoutMillis;
  private final Histogram gaps = LoadResult.histogram();
  private final List<LiveRecord> records = new ArrayList<>();
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private final long startNanos = MonotonicClock.SYSTEM.nanos();
  private final long startMicros = nowMicros();

  private LiveLoad(
      PooledHttpClient httpClient,
      IntFunction<URI> targets,
      String apiKey,
      String model,
      List<PlannedRequest> plan,
      long timeoutMillis) {
    this.httpClient = httpClient;
    this.targets = targets;
    this.apiKey = apiKey;
    this.model = model;
    this.plan = List.copyOf(plan);
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Starts a load; {@link #await} returns its result.
   *
   * @param httpClient client that sends the requests
   * @param targets returns the address for a request's target number; called on the sending thread
   * @param apiKey API key of the caller
   * @param model name of the model
   * @param plan requests in the order of their intended times
   * @param timeoutMillis milliseconds after which a caller closes its connection
   */
  public static LiveLoad start(
      PooledHttpClient httpClient,
      IntFunction<URI> targets,
      String apiKey,
      String model,
      List<PlannedRequest> plan,
      long timeoutMillis) {
    LiveLoad load = new LiveLoad(httpClient, targets, apiKey, model, plan, timeoutMillis);
    Thread thread = new Thread(load::send, "live-load");
    thread.setDaemon(true);
    thread.start();
    return load;
  }

  /** Returns the current wall-clock time in microseconds since 1970. */
  public static long nowMicros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  /** Returns the wall-clock time of the start of the load, in microseconds since 1970. */
  public long startMicros() {
    return startMicros;
  }

  /**
   * Waits until all requests have ended.
   *
   * @throws IllegalStateException if a request did not end by its deadline or the wait failed
   */
  public LoadResult await() {
    long lastOffsetMillis =
        plan.isEmpty() ? 0 : plan.get(plan.size() - 1).offsetNanos() / 1_000_000;
    try {
      if (!plan.isEmpty()) {
        done.get(lastOffsetMillis + timeoutMillis + GRACE_MILLIS, TimeUnit.MILLISECONDS);
      }
    } catch (TimeoutException late) {
      throw new IllegalStateException("a live request did not end by its deadline", late);
    } catch (Exception failure) {
      throw new IllegalStateException("the wait for the live requests failed", failure);
    }
    synchronized (records) {
      return new LoadResult(startMicros, nowMicros(), records, gaps, timeoutMillis * 1_000_000);
    }
  }

  private void send() {
    for (PlannedRequest request : plan) {
      long due = startNanos + request.offsetNanos();
      long wait = due - MonotonicClock.SYSTEM.nanos();
      while (wait > 0) {
        LockSupport.parkNanos(wait);
        wait = due - MonotonicClock.SYSTEM.nanos();
      }
      start(request, due);
    }
  }

  private void start(PlannedRequest request, long due) {
    String body =
        ApiClient.completionBody(model, request.prompt(), request.answerTokens(), true).toString();
    URI target = targets.apply(request.targetNumber());
    LiveListener listener =
        new LiveListener(
            request,
            target,
            due,
            startMicros + request.offsetNanos() / 1_000,
            this::addGap,
            this::add);
    httpClient.start(
        new HttpCall(
            "POST",
            target.resolve("/v1/completions"),
            Map.of("Authorization", "Bearer " + apiKey),
            body.getBytes(StandardCharsets.UTF_8),
            false,
            MonotonicClock.SYSTEM.deadlineAfterMillis(timeoutMillis)),
        listener);
  }

  private void addGap(long nanos) {
    synchronized (records) {
      gaps.recordValue(nanos);
    }
  }

  private void add(LiveRecord record) {
    synchronized (records) {
      records.add(record);
      if (records.size() == plan.size()) {
        done.complete(null);
      }
    }
  }
}
