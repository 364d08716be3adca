package org.sedgeroad.presence;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Sums of the loads of several instances. No component may be null.
 *
 * @param reporters number of instances
 * @param configurationVersion newest configuration version in force at one of them, 0 without any
 * @param endpointsVersion newest store version of a change of an endpoint that one of them has
 *     received, 0 without any
 * @param liveWaiting number of live requests that wait for a slot
 * @param batchReady number of batch items that could start, by the report name of their queue
 * @param waitingTokens tokens of unfinished items, by route
 * @param endpoints work at the endpoints by name, without endpoints that have none
 * @param sentToLimited number of requests sent lately to endpoints with a limited rate
 * @param details what the instances report beside their work
 */
public record LoadTotals(
    int reporters,
    long configurationVersion,
    long endpointsVersion,
    int liveWaiting,
    Map<String, Integer> batchReady,
    Map<String, Long> waitingTokens,
    Map<String, EndpointTotal> endpoints,
    Map<String, Integer> sentToLimited,
    FleetDetails details) {
  /** The sums of no instance. */
  public static final LoadTotals NONE =
      new LoadTotals(0, 0, 0, 0, Map.of(), Map.of(), Map.of(), Map.of());

  /**
   * Copies the maps.
   *
   * @throws NullPointerException if a component is null
   */
  public LoadTotals {
    batchReady = Map.copyOf(batchReady);
    waitingTokens = Map.copyOf(waitingTokens);
    endpoints = Map.copyOf(endpoints);
    sentToLimited = Map.copyOf(sentToLimited);
    Objects.requireNonNull(details);
  }

  /** Creates sums of instances that report nothing beside their work. */
  public LoadTotals(
      int reporters,
      long configurationVersion,
      long endpointsVersion,
      int liveWaiting,
      Map<String, Integer> batchReady,
      Map<String, Long> waitingTokens,
      Map<String, EndpointTotal> endpoints,
      Map<String, Integer> sentToLimited) {
    this(
        reporters,
        configurationVersion,
        endpointsVersion,
        liveWaiting,
        batchReady,
        waitingTokens,
        endpoints,
        sentToLimited,
        FleetDetails.NONE);
  }

  /** Returns the sums of reports of different instances. */
  public static LoadTotals ofReports(Collection<LoadReport> reports) {
    return sum(reports.stream().map(LoadTotals::of).toList());
  }

  /** Returns the sums of totals of different instances. */
  public static LoadTotals sum(List<LoadTotals> parts) {
    if (parts.size() == 1) {
      return parts.get(0);
    }
    int reporters = 0;
    long version = 0;
    long endpointsVersion = 0;
    int liveWaiting = 0;
    Map<String, Integer> ready = new HashMap<>();
    Map<String, Long> tokens = new HashMap<>();
    Map<String, EndpointTotal> endpoints = new HashMap<>();
    Map<String, Integer> sent = new HashMap<>();
    FleetDetails details = FleetDetails.NONE;
    for (LoadTotals part : parts) {
      reporters += part.reporters;
      version = Math.max(version, part.configurationVersion);
      endpointsVersion = Math.max(endpointsVersion, part.endpointsVersion);
      liveWaiting += part.liveWaiting;
      part.batchReady.forEach((service, count) -> ready.merge(service, count, Integer::sum));
      part.waitingTokens.forEach((route, count) -> tokens.merge(route, count, Long::sum));
      part.endpoints.forEach(
          (name, total) ->
              endpoints.merge(name, total, (before, other) -> before.plus(name, other)));
      part.sentToLimited.forEach((name, count) -> sent.merge(name, count, Integer::sum));
      details = details.plus(part.details);
    }
    return new LoadTotals(
        reporters, version, endpointsVersion, liveWaiting, ready, tokens, endpoints, sent, details);
  }

  /** Returns these sums without the report of one of the instances. */
  public LoadTotals minus(LoadReport report) {
    Map<String, Integer> ready = new HashMap<>(batchReady);
    report.batchReady().forEach((service, count) -> ready.merge(service, -count, Integer::sum));
    Map<String, Long> tokens = new HashMap<>(waitingTokens);
    report.waitingTokens().forEach((route, count) -> tokens.merge(route, -count, Long::sum));
    Map<String, EndpointTotal> left = new HashMap<>(endpoints);
    report
        .occupancy()
        .forEach((name, work) -> left.computeIfPresent(name, (key, total) -> total.minus(work)));
    Map<String, Integer> sent = new HashMap<>(sentToLimited);
    report
        .sentToLimited()
        .forEach((name, count) -> sent.computeIfPresent(name, (key, total) -> total - count));
    return new LoadTotals(
        Math.max(0, reporters - 1),
        configurationVersion,
        endpointsVersion,
        Math.max(0, liveWaiting - report.liveWaiting()),
        ready,
        tokens,
        left,
        sent,
        details.minus(report.details()));
  }

  /** Returns a copy with other details. */
  public LoadTotals withDetails(FleetDetails next) {
    return new LoadTotals(
        reporters,
        configurationVersion,
        endpointsVersion,
        liveWaiting,
        batchReady,
        waitingTokens,
        endpoints,
        sentToLimited,
        next);
  }

  /** Returns a copy to whose details others are added. */
  LoadTotals plusDetails(FleetDetails other) {
    return withDetails(details.plus(other));
  }

  private static LoadTotals of(LoadReport report) {
    Map<String, EndpointTotal> endpoints = new HashMap<>();
    report
        .occupancy()
        .forEach((name, work) -> endpoints.put(name, EndpointTotal.of(work, report.instance())));
    return new LoadTotals(
        1,
        report.configurationVersion(),
        report.endpointsVersion(),
        report.liveWaiting(),
        report.batchReady(),
        report.waitingTokens(),
        endpoints,
        report.sentToLimited(),
        report.details());
  }
}
