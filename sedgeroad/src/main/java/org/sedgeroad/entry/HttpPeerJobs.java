package org.sedgeroad.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.batch.JobHeadJson;
import org.sedgeroad.batch.PeerJobs;
import org.sedgeroad.batch.ReadResult;
import org.sedgeroad.batch.ResultPageJson;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpFailure;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.store.StoredObject;

/**
 * Calls other instances over HTTP about the jobs that they run. The other side is {@link
 * PeerJobsHandler}.
 */
final class HttpPeerJobs implements PeerJobs {
  /**
   * Time allowed for a call beyond the wait time in its query, in milliseconds; ten round trips
   * between regions.
   */
  private static final long ROUND_TRIP_MILLIS = 300;

  private final InstanceDirectory instances;
  private final Supplier<String> headWatcher;
  private final PooledHttpClient httpClient;
  private final MonotonicClock clock;
  private final ObjectMapper mapper = new ObjectMapper();

  /**
   * Creates a client.
   *
   * @param instances addresses of the other instances
   * @param headWatcher returns the name of the instance that watches all job heads for this one;
   *     that may be this instance
   * @param httpClient sends the requests
   * @param clock monotonic clock
   */
  HttpPeerJobs(
      InstanceDirectory instances,
      Supplier<String> headWatcher,
      PooledHttpClient httpClient,
      MonotonicClock clock) {
    this.instances = instances;
    this.headWatcher = headWatcher;
    this.httpClient = httpClient;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<ReadResult> results(
      String owner, String job, int after, long deadlineNanos) {
    long wait = Math.max(0, (deadlineNanos - clock.nanos()) / 1_000_000L);
    return call(owner, "GET", "results", job, "&after=" + after + "&wait_millis=" + wait, wait)
        .thenApply(this::readPage);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> head(String job) {
    return call(headWatcher.get(), "GET", "head", job, "", 0)
        .thenApply(result -> readHead(job, result));
  }

  private Optional<StoredObject> readHead(String job, HttpResult result) {
    try {
      return result instanceof HttpResult.Answered answered && answered.head().status() == 200
          ? JobHeadJson.decode(job, mapper.readTree(answered.body()))
          : Optional.empty();
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }

  @Override
  public CompletableFuture<ReadResult> body(String owner, String job, String item) {
    return call(owner, "GET", "body", job, "&item=" + encode(item), 0)
        .thenApply(
            result ->
                result instanceof HttpResult.Answered answered && answered.head().status() == 200
                    ? new ReadResult.Body(answered.body())
                    : new ReadResult.Unavailable(result.toString()));
  }

  @Override
  public CompletableFuture<ReadResult> notifyEnded(String owner, String job) {
    return notify(owner, "ended", job);
  }

  @Override
  public CompletableFuture<ReadResult> notifyHeadChanged(String instance, String job) {
    return notify(instance, "head-changed", job);
  }

  private CompletableFuture<ReadResult> notify(String instance, String event, String job) {
    return call(instance, "POST", event, job, "", 0)
        .thenApply(
            result ->
                result instanceof HttpResult.Answered
                    ? new ReadResult.Ended()
                    : new ReadResult.Unavailable(result.toString()));
  }

  private CompletableFuture<HttpResult> call(
      String owner, String method, String path, String job, String query, long waitMillis) {
    Optional<URI> uri = instances.exchangeUri(owner, "/" + path + "?job=" + encode(job) + query);
    if (uri.isEmpty()) {
      return CompletableFuture.completedFuture(
          new HttpResult.Failed(new HttpFailure.NotSent("unknown instance " + owner)));
    }
    HttpCall call =
        HttpCall.of(
            method,
            uri.get(),
            new byte[0],
            clock.deadlineAfterMillis(waitMillis + ROUND_TRIP_MILLIS));
    return httpClient.sendAsync(method.equals("GET") ? call.asRepeatable() : call);
  }

  private ReadResult readPage(HttpResult result) {
    if (result instanceof HttpResult.Answered answered && answered.head().status() == 200) {
      try {
        return new ReadResult.Page(ResultPageJson.decode(mapper.readTree(answered.body())));
      } catch (IOException failure) {
        return new ReadResult.Unavailable("answer of the owner: " + failure.getMessage());
      }
    }
    return new ReadResult.Unavailable(result.toString());
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
