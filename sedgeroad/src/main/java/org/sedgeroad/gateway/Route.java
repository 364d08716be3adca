package org.sedgeroad.gateway;

import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;

/**
 * A rule that sends requests of one host and path prefix to services. No component may be null.
 *
 * @param name unique name
 * @param host value of the {@code Host} header without port, lower case
 * @param pathPrefix prefix of the path, begins and ends with a slash
 * @param kind kind of the requests
 * @param services services with their weights, at least one
 * @param priority priority among the routes of a service, 0 is the highest
 * @param maximumEndpoints maximum number of endpoints at which one request may run, counting
 *     retries; for a batch item, the number of failed runs after which it is given up
 * @param timeoutMillis time after which an unanswered request is refused, in milliseconds
 * @param objectiveMillis time within which the answer, or the first event of a stream, must arrive
 *     to count as on time, in milliseconds
 * @param resumable whether a stream may be resumed at another endpoint
 * @param batch options of a batch route
 * @param isPublic whether requests need no key
 * @param isSticky whether endpoints that have a prompt cached are preferred
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    List<WeightedService> services,
    int priority,
    int maximumEndpoints,
    long timeoutMillis,
    long objectiveMillis,
    boolean resumable,
    BatchOptions batch,
    boolean isPublic,
    boolean isSticky) {

  /**
   * Copies the list and checks the components.
   *
   * @throws NullPointerException if a component is null
   * @throws IllegalArgumentException if there is no service
   */
  public Route {
    Objects.requireNonNull(name);
    Objects.requireNonNull(host);
    Objects.requireNonNull(pathPrefix);
    Objects.requireNonNull(kind);
    Objects.requireNonNull(batch);
    services = List.copyOf(services);
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
  }

  /**
   * Creates a route whose requests need a key if the configuration has workspaces, and that does
   * not prefer endpoints.
   */
  public Route(
      String name,
      String host,
      String pathPrefix,
      RouteKind kind,
      List<WeightedService> services,
      int priority,
      int maximumEndpoints,
      long timeoutMillis,
      long objectiveMillis,
      boolean resumable,
      BatchOptions batch) {
    this(
        name,
        host,
        pathPrefix,
        kind,
        services,
        priority,
        maximumEndpoints,
        timeoutMillis,
        objectiveMillis,
        resumable,
        batch,
        false,
        false);
  }

  /** Returns the prompt by which an endpoint is chosen; none if the route is not sticky. */
  public PromptPrefix promptOf(PromptPrefix stated) {
    return isSticky ? stated : PromptPrefix.NONE;
  }

  /** Returns whether a request that may have run can be sent to another endpoint. */
  public boolean isRepeatable() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.BATCH || isResumableStream();
  }

  /** Returns whether the route's requests are streams that can be resumed at another endpoint. */
  public boolean isResumableStream() {
    return kind == RouteKind.STREAMING && resumable;
  }

  /** Returns whether the route divides its requests among several services. */
  public boolean isSplit() {
    return services.size() > 1;
  }

  /**
   * Returns the name of the service for one request.
   *
   * @param choice random number from 0 (inclusive) to 1 (exclusive) that selects by weight
   */
  public String serviceFor(double choice) {
    return serviceFor(choice, service -> true);
  }

  /**
   * Returns the name of the service for one request, selected by weight among the available
   * services, or among all services if none is available. A service of weight 0 is selected only if
   * the weights of all services are 0.
   *
   * @param choice random number from 0 (inclusive) to 1 (exclusive) that selects by weight
   * @param available tests whether the service with a name can take the request
   */
  public String serviceFor(double choice, Predicate<String> available) {
    if (!isSplit()) {
      return services.get(0).service();
    }
    List<WeightedService> candidates =
        services.stream()
            .filter(service -> service.weight() > 0 && available.test(service.service()))
            .toList();
    return select(candidates.isEmpty() ? services : candidates, choice);
  }

  private static String select(List<WeightedService> candidates, double choice) {
    int total = candidates.stream().mapToInt(WeightedService::weight).sum();
    double remaining = choice * total;
    for (WeightedService candidate : candidates) {
      remaining -= candidate.weight();
      if (remaining < 0) {
        return candidate.service();
      }
    }
    return candidates.get(0).service();
  }

  /**
   * Returns whether the route may send requests to a service: it has a positive weight or is the
   * only service of the route.
   */
  public boolean allows(String service) {
    return services.stream()
        .anyMatch(
            candidate ->
                candidate.service().equals(service)
                    && (candidate.weight() > 0 || services.size() == 1));
  }
}
