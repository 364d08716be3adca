package org.sedgeroad.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One version of the configuration of routes. Immutable. */
public final class RouteTable {
  /**
   * The table before any configuration is known. Its limits only protect the instance's memory:
   * they must not refuse what a configuration allows.
   */
  public static final RouteTable EMPTY =
      new RouteTable(0, List.of(), Map.of(), new RequestLimits(1 << 20, 16 << 20, 60_000));

  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceTerms> services;
  private final RequestLimits limits;

  private RouteTable(
      long version, List<Route> routes, Map<String, ServiceTerms> services, RequestLimits limits) {
    this.version = version;
    this.services = Map.copyOf(services);
    this.limits = limits;
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    // The longest prefix comes first, so that the first match is the most specific one.
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
  }

  /** Returns a table; no argument may be null. */
  public static RouteTable of(
      long version, List<Route> routes, Map<String, ServiceTerms> services, RequestLimits limits) {
    return new RouteTable(version, routes, services, limits);
  }

  /** Returns the version of the configuration, 0 for {@link #EMPTY}. */
  public long version() {
    return version;
  }

  /** Returns the bounds on what clients may send. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns the number of places of an endpoint, by its service and what it says of itself. */
  public int slots(String service, int registered) {
    ServiceTerms terms = services.get(service);
    return terms == null || terms.engineSlots() == 0 ? registered : terms.engineSlots();
  }

  /**
   * Returns the route with the longest prefix that begins the path.
   *
   * @param host value of the {@code Host} header, with or without port
   * @param path path without query
   */
  public Optional<Route> match(String host, String path) {
    int colon = host.indexOf(':');
    String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    for (Route route : routesByHost.getOrDefault(name, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }
}
