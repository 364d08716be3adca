package org.sedgeroad.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.presence.SpeedSample;
import org.sedgeroad.route.EndpointSpeed;
import org.sedgeroad.route.SpeedComparison;
import org.sedgeroad.route.SpeedWindow;

/**
 * Speeds of the endpoints: what this instance observes, what it reports to the others, and the
 * speed factors that follow from the observations of all instances. Used on the event loop.
 *
 * <p>Observations are relative to what this instance expects of an endpoint of the service at the
 * median speed. The expectation takes the known factors out of the own observations, so that it
 * does not depend on which endpoints this instance happens to use. All observations of an
 * incarnation are discarded when it ends.
 */
public final class EndpointSpeeds {
  /**
   * Smallest number of observations of an endpoint by all instances in a second that is evaluated;
   * a stream of a usual length gives 20.
   */
  private static final int MINIMUM_OBSERVATIONS = 8;

  private final MonotonicClock clock;
  private final Map<String, EndpointSpeed> own = new HashMap<>();
  private final Map<String, RunTimeAverage> runTimes = new HashMap<>();
  private final Map<String, SpeedFactor> factors = new HashMap<>();
  private Map<String, Double> factorsByName = Map.of();
  private Map<String, SpeedSample> reported = Map.of();
  private Set<String> incarnations = Set.of();
  private long evaluatedSecond;

  /** Creates speeds without observations. */
  EndpointSpeeds(MonotonicClock clock) {
    this.clock = clock;
    this.evaluatedSecond = SpeedWindow.bucketNumber(clock.nanos());
  }

  /**
   * Returns a new observer of a run that is sent to an endpoint now.
   *
   * @param endpoint the endpoint, not null
   */
  public RunTiming begin(ServiceEndpoint endpoint) {
    String incarnation = endpoint.incarnation();
    EndpointSpeed speed =
        incarnations.contains(incarnation)
            ? own.computeIfAbsent(incarnation, key -> new EndpointSpeed())
            : new EndpointSpeed();
    RunTimeAverage average =
        runTimes.computeIfAbsent(endpoint.service(), key -> new RunTimeAverage());
    return RunTiming.begin(speed, average, factor(endpoint.name()), clock);
  }

  /** Returns the times of live requests of a service at an endpoint of median speed. */
  RunTimes runTimes(String service) {
    RunTimeAverage average = runTimes.get(service);
    return average == null ? RunTimes.UNKNOWN : average.times();
  }

  /** Discards the observations of all incarnations but those of the known endpoints. */
  void retain(Collection<ServiceEndpoint> endpoints) {
    incarnations = endpoints.stream().map(ServiceEndpoint::incarnation).collect(Collectors.toSet());
    own.keySet().retainAll(incarnations);
    factors.keySet().retainAll(incarnations);
    runTimes.keySet().retainAll(endpoints.stream().map(ServiceEndpoint::service).toList());
    updateFactorsByName(endpoints);
  }

  /** Returns the observations of this instance in the last complete second, by incarnation. */
  Map<String, SpeedSample> reported() {
    return reported;
  }

  /**
   * Returns the time that an endpoint takes for a step of its work, relative to the median of its
   * service; 1 if nothing else is known.
   */
  double factor(String endpointName) {
    return factorsByName.getOrDefault(endpointName, 1.0);
  }

  /**
   * Evaluates the last complete second; no effect if this has been done. Samples change only once a
   * second, because each change is sent to the other instances.
   *
   * @param endpoints the known endpoints
   * @param others sums of the samples of the other instances by incarnation
   */
  void update(Collection<ServiceEndpoint> endpoints, Map<String, SpeedSample> others) {
    long now = clock.nanos();
    long second = SpeedWindow.bucketNumber(now);
    if (second == evaluatedSecond) {
      return;
    }
    evaluatedSecond = second;
    Map<String, List<ServiceEndpoint>> services =
        endpoints.stream().collect(Collectors.groupingBy(ServiceEndpoint::service));
    Map<String, SpeedSample> samples = new HashMap<>();
    services.values().forEach(service -> addSamples(service, samples, now));
    reported = Map.copyOf(samples);
    services.values().forEach(service -> updateFactors(service, others, now));
    updateFactorsByName(endpoints);
  }

  /** Adds the own observations of the endpoints of one service in the last complete second. */
  private void addSamples(
      List<ServiceEndpoint> service, Map<String, SpeedSample> samples, long now) {
    double expectedFirst = expected(service, EndpointSpeed::firstEventTimes, now);
    double expectedGap = expected(service, EndpointSpeed::gapTimes, now);
    long second = SpeedWindow.bucketNumber(now) - 1;
    for (ServiceEndpoint endpoint : service) {
      EndpointSpeed speed = own.get(endpoint.incarnation());
      if (speed != null) {
        SpeedSample sample =
            sample(speed.firstEventTimes(), expectedFirst, second)
                .plus(sample(speed.gapTimes(), expectedGap, second));
        if (sample.count() > 0) {
          samples.put(endpoint.incarnation(), sample);
        }
      }
    }
  }

  private static SpeedSample sample(SpeedWindow times, double expected, long second) {
    return expected > 0
        ? new SpeedSample(times.count(second), Math.round(1_000 * times.sum(second) / expected))
        : new SpeedSample(0, 0);
  }

  /** Returns the time expected at the median speed, NaN if this instance has observed none. */
  private double expected(
      List<ServiceEndpoint> service, Function<EndpointSpeed, SpeedWindow> times, long now) {
    double[] means =
        service.stream()
            .filter(endpoint -> own.containsKey(endpoint.incarnation()))
            .mapToDouble(
                endpoint ->
                    times.apply(own.get(endpoint.incarnation())).mean(1, now)
                        / factor(endpoint.name()))
            .filter(mean -> !Double.isNaN(mean))
            .toArray();
    return means.length == 0 ? Double.NaN : SpeedComparison.median(means);
  }

  /** Updates the factors of the endpoints of one service from the samples of all instances. */
  private void updateFactors(
      List<ServiceEndpoint> service, Map<String, SpeedSample> others, long now) {
    Map<String, Double> ratios = new HashMap<>();
    for (ServiceEndpoint endpoint : service) {
      String incarnation = endpoint.incarnation();
      SpeedSample none = new SpeedSample(0, 0);
      SpeedSample all =
          reported.getOrDefault(incarnation, none).plus(others.getOrDefault(incarnation, none));
      if (all.count() >= MINIMUM_OBSERVATIONS) {
        ratios.put(incarnation, (double) all.thousandths() / all.count());
      }
    }
    if (ratios.size() < SpeedComparison.MIN_ENDPOINTS) {
      return;
    }
    double median =
        SpeedComparison.median(ratios.values().stream().mapToDouble(Double::doubleValue).toArray());
    ratios.forEach(
        (incarnation, ratio) ->
            factors
                .computeIfAbsent(incarnation, key -> new SpeedFactor())
                .add(ratio / Math.max(1, median), now));
  }

  private void updateFactorsByName(Collection<ServiceEndpoint> endpoints) {
    long now = clock.nanos();
    Map<String, Double> next = new HashMap<>();
    for (ServiceEndpoint endpoint : endpoints) {
      SpeedFactor factor = factors.get(endpoint.incarnation());
      if (factor != null && factor.value(now) != 1) {
        next.put(endpoint.name(), factor.value(now));
      }
    }
    factorsByName = next;
  }
}
