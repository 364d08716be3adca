package org.sedgeroad.metric;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.sedgeroad.gateway.Refusal;
import org.sedgeroad.store.ObjectStore;

/**
 * The metrics of a gateway instance: requests by route, runs of batch items and store calls.
 * docs/GATEWAY-METRICS.md lists each of them with its meaning. Thread-safe.
 */
public final class GatewayMetrics {
  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Upper bounds of the histogram buckets in seconds. 0.3 s is the time objective of the routes in
   * the deployments; as a bound it can be read without interpolation.
   */
  private static final double[] TIME_BOUNDS = {0.001, 0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5};

  /** Largest number of workspaces with time series of their own; a deployment has 2,000. */
  private static final int MAXIMUM_WORKSPACES = 100;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Histogram wait =
      Histogram.builder()
          .name("sedgeroad_gateway_wait_seconds")
          .help("Time from arrival until a place was found.")
          .labelNames("route")
          .classicOnly()
          .classicUpperBounds(TIME_BOUNDS)
          .register(registry);
  private final Histogram duration =
      Histogram.builder()
          .name("sedgeroad_gateway_duration_seconds")
          .help("Time from arrival to the end of the answer.")
          .labelNames("route")
          .classicOnly()
          .classicUpperBounds(TIME_BOUNDS)
          .register(registry);
  private final Counter refusals =
      Counter.builder()
          .name("sedgeroad_gateway_refusals_total")
          .help("Requests that got no answer of an endpoint.")
          .labelNames("route", "reason")
          .register(registry);
  private final Counter quarantineRefusals =
      Counter.builder()
          .name("sedgeroad_gateway_quarantine_refusals_total")
          .help("Refusals of requests like those under which endpoints crashed.")
          .labelNames("route", "reason")
          .register(registry);
  private final Counter workspaceRequests =
      Counter.builder()
          .name("sedgeroad_gateway_workspace_requests_total")
          .help("Sends of requests to endpoints, and refusals, by workspace.")
          .labelNames("workspace", "outcome")
          .register(registry);
  private final BoundedLabels workspaces = new BoundedLabels(MAXIMUM_WORKSPACES);
  private final Counter invalidAnnouncements =
      Counter.builder()
          .name("sedgeroad_gateway_invalid_announcements_total")
          .help("Headers about the endpoint itself that are ignored because they are not valid.")
          .register(registry);
  private final Counter items =
      Counter.builder()
          .name("sedgeroad_gateway_batch_items_total")
          .help("Batch items by what became of a run: completed, withdrawn, broken, dead.")
          .labelNames("outcome")
          .register(registry);
  private final Counter itemsGivenUp =
      Counter.builder()
          .name("sedgeroad_gateway_batch_items_given_up_total")
          .help("Batch items that were given up because they can no longer run.")
          .register(registry);
  private final Counter storeCalls =
      Counter.builder()
          .name("sedgeroad_gateway_store_calls_total")
          .help("Calls to the store by kind of object, kind of call and outcome.")
          .labelNames("kind", "call", "outcome")
          .register(registry);

  private final Counter promptTokens =
      Counter.builder()
          .name("sedgeroad_gateway_prompt_tokens_total")
          .help(
              "Tokens of prompts that were sent, by whether the endpoint should have them cached.")
          .labelNames("expected")
          .register(registry);

  /**
   * Records that a request was placed at an endpoint.
   *
   * @param route name of the route
   * @param waitMillis time since the arrival of the request, in milliseconds
   */
  public void recordPlacement(String route, long waitMillis) {
    wait.labelValues(route).observe(waitMillis / MILLIS_PER_SECOND);
  }

  /**
   * Records that a request ended.
   *
   * @param route name of the route
   * @param durationMillis time since the arrival of the request, in milliseconds
   */
  public void recordEnd(String route, long durationMillis) {
    duration.labelValues(route).observe(durationMillis / MILLIS_PER_SECOND);
  }

  /** Records that a request of a route was refused. */
  public void recordRefusal(String route, Refusal.Reason reason) {
    refusals.labelValues(route, reason.name()).inc();
  }

  /**
   * Records that a request of a workspace was sent to an endpoint or refused.
   *
   * @param workspace name of the workspace, empty without one
   * @param outcome value of the label: sent, or the reason of the refusal
   */
  public void recordWorkspace(String workspace, String outcome) {
    if (!workspace.isEmpty()) {
      workspaceRequests.labelValues(workspaces.of(workspace), outcome).inc();
    }
  }

  /**
   * Records that a refusal of a route's request, which is recorded by {@link #recordRefusal} too,
   * was due to a quarantine.
   */
  public void recordQuarantineRefusal(String route, Refusal.Reason reason) {
    quarantineRefusals.labelValues(route, reason.name()).inc();
  }

  /** Records headers of an answer about the endpoint itself that are not valid. */
  public void recordInvalidAnnouncements(int headers) {
    invalidAnnouncements.inc(headers);
  }

  /**
   * Records the end of a run of a batch item.
   *
   * @param outcome value of the label: completed, withdrawn, broken or dead
   */
  public void recordItemRun(String outcome) {
    items.labelValues(outcome).inc();
  }

  /** Records batch items that were given up because they can no longer run. */
  public void recordItemsGivenUp(int count) {
    itemsGivenUp.inc(count);
  }

  /**
   * Records a prompt that was sent to an endpoint.
   *
   * @param cached number of its tokens that the endpoint has probably cached
   * @param uncached number of the others
   */
  public void recordPrompt(int cached, int uncached) {
    promptTokens.labelValues("cached").inc(cached);
    promptTokens.labelValues("uncached").inc(uncached);
  }

  /** Returns a view of a store that counts the calls to it. */
  public ObjectStore measure(ObjectStore store) {
    return new MeasuredStore(
        store,
        new MeasuredStore.Recorder() {
          @Override
          public void record(String kind, String call, String outcome, long nanos) {
            storeCalls.labelValues(kind, call, outcome).inc();
          }

          @Override
          public void recordWatch(String kind, String outcome) {
            storeCalls.labelValues(kind, "watch", outcome).inc();
          }
        });
  }

  /** Returns all metrics in the Prometheus text format. */
  public String toText() {
    try (ByteArrayOutputStream output = new ByteArrayOutputStream()) {
      PrometheusTextFormatWriter.create().write(output, registry.scrape());
      return output.toString(StandardCharsets.UTF_8);
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }
}
