package org.sedgeroad.metric;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.job.CommitListener;
import org.sedgeroad.job.ItemResult;
import org.sedgeroad.job.Job;
import org.sedgeroad.store.ObjectStore;

/**
 * The metrics of an entry instance. docs/METRICS.md lists each of them with its meaning.
 * Thread-safe.
 *
 * <p>The methods that record values never block and never throw.
 */
public final class Metrics implements RequestObserver, CommitListener {
  /** Content type of {@link #toText}. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  /**
   * Maximum number of members with a label value of their own. 100 members give at most 700 time
   * series of requests and 400 of batch items.
   */
  private static final int MAX_LABELED_MEMBERS = 100;

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Upper bounds of the histogram buckets in seconds. 0.52 s is the target for the first token in
   * the design document; as a bound it can be read without interpolation.
   */
  private static final double[] FIRST_TOKEN_BOUNDS = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.52, 0.75, 1, 2, 5, 10
  };

  private static final double[] DURATION_BOUNDS = {
    0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 600
  };

  private static final double[] STORE_BOUNDS = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2
  };

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final MemberLabels memberLabels = new MemberLabels(MAX_LABELED_MEMBERS);
  private final Counter requests =
      counter(
          "sedgeroad_requests_total",
          "Live requests that have ended.",
          "member",
          "class",
          "outcome");
  private final Histogram firstToken =
      histogram(
          "sedgeroad_first_token_seconds",
          "Time to the first event of a streamed answer.",
          FIRST_TOKEN_BOUNDS,
          "class");
  private final Histogram duration =
      histogram(
          "sedgeroad_request_duration_seconds",
          "Time to the end of a live request that was served.",
          DURATION_BOUNDS,
          "class");
  private final Counter batchItems =
      counter(
          "sedgeroad_batch_items_total",
          "Batch items ended by commits of this instance.",
          "member",
          "outcome");
  private final Counter storeCalls =
      counter("sedgeroad_store_calls_total", "Calls to the store.", "call", "outcome");
  private final Histogram storeDuration =
      histogram(
          "sedgeroad_store_call_duration_seconds",
          "Duration of calls to the store.",
          STORE_BOUNDS,
          "call");

  /**
   * Registers a gauge.
   *
   * @param name name of the metric
   * @param help help text of the metric
   * @param value returns the current value; called at each scrape
   */
  public void addGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * Registers a gauge with a label.
   *
   * @param name name of the metric
   * @param help help text of the metric
   * @param label name of the label
   * @param values returns the current value for each value of the label; called at each scrape
   */
  public void addGauge(
      String name, String help, String label, Supplier<Map<String, Double>> values) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .labelNames(label)
        .callback(callback -> values.get().forEach((key, value) -> callback.call(value, key)))
        .register(registry);
  }

  /** Returns a view of a store that counts the calls to it and measures their duration. */
  public ObjectStore measure(ObjectStore store) {
    return new MeasuredStore(
        store,
        (kind, call, outcome, nanos) -> {
          storeCalls.labelValues(call, outcome).inc();
          storeDuration.labelValues(call).observe(nanos / NANOS_PER_SECOND);
        });
  }

  @Override
  public void requestEnded(CompletedRequest request) {
    String serviceClass = ServiceClass.LIVE.toText();
    requests
        .labelValues(memberLabels.of(request.member()), serviceClass, request.outcome().toText())
        .inc();
    if (request.firstEventNanos() >= 0) {
      firstToken.labelValues(serviceClass).observe(request.firstEventNanos() / NANOS_PER_SECOND);
    }
    if (request.durationNanos() > 0) {
      duration.labelValues(serviceClass).observe(request.durationNanos() / NANOS_PER_SECOND);
    }
  }

  @Override
  public void committed(Job job, List<ItemResult> results) {
    String member = memberLabels.of(job.member());
    for (ItemResult result : results) {
      String outcome = result.state().name().toLowerCase(java.util.Locale.ROOT);
      batchItems.labelValues(member, outcome).inc();
    }
  }

  /** Returns all metrics in the Prometheus text format. */
  public String toText() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(bytes, registry.scrape());
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  private Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  private Histogram histogram(String name, String help, double[] bounds, String label) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .classicOnly()
        .classicUpperBounds(bounds)
        .labelNames(label)
        .register(registry);
  }
}
