package org.sedgeroad.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.sedgeroad.access.WorkspaceDirectory;

/** One version of the configuration of routes and services. Immutable. */
public final class RouteTable {
  /**
   * Table in force before a configuration is known. Its limits only protect the instance's memory:
   * they must not reject requests that a configuration may allow.
   */
  public static final RouteTable EMPTY =
      new RouteTable(
          0,
          List.of(),
          Map.of(),
          new RequestLimits(1 << 20, 16 << 20, 60_000),
          WorkspaceDirectory.NONE);

  private final long version;
  private final List<Route> routes;
  private final Map<String, HostRoutes> routesByHost = new HashMap<>();
  private final Map<String, ServiceOptions> services;
  private final RequestLimits limits;
  private final WorkspaceDirectory workspaces;

  private RouteTable(
      long version,
      List<Route> routes,
      Map<String, ServiceOptions> services,
      RequestLimits limits,
      WorkspaceDirectory workspaces) {
    this.version = version;
    this.routes = List.copyOf(routes);
    this.services = Map.copyOf(services);
    this.limits = limits;
    this.workspaces = workspaces;
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new HostRoutes()).add(route);
    }
  }

  /**
   * The routes of one host. A look-up takes one step for each length that prefixes have, not for
   * each route, because a configuration may have thousands of routes.
   */
  private static final class HostRoutes {
    private final Map<String, Route> routesByPrefix = new HashMap<>();
    private final TreeSet<Integer> lengths = new TreeSet<>(Comparator.reverseOrder());

    void add(Route route) {
      routesByPrefix.putIfAbsent(route.pathPrefix(), route);
      lengths.add(route.pathPrefix().length());
    }

    Optional<Route> match(String path) {
      for (int length : lengths.tailSet(path.length())) {
        Route route = routesByPrefix.get(path.substring(0, length));
        if (route != null) {
          return Optional.of(route);
        }
      }
      return Optional.empty();
    }
  }

  /** Returns a table without workspaces; no argument may be null. */
  public static RouteTable of(
      long version,
      List<Route> routes,
      Map<String, ServiceOptions> services,
      RequestLimits limits) {
    return of(version, routes, services, limits, WorkspaceDirectory.NONE);
  }

  /** Returns a table; no argument may be null. */
  public static RouteTable of(
      long version,
      List<Route> routes,
      Map<String, ServiceOptions> services,
      RequestLimits limits,
      WorkspaceDirectory workspaces) {
    return new RouteTable(version, routes, services, limits, workspaces);
  }

  /** Returns the version of the configuration, 0 for {@link #EMPTY}. */
  public long version() {
    return version;
  }

  /** Returns all routes. */
  public List<Route> routes() {
    return routes;
  }

  /** Returns the limits on the requests of clients. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns the workspaces, {@link WorkspaceDirectory#NONE} if the configuration has none. */
  public WorkspaceDirectory workspaces() {
    return workspaces;
  }

  /**
   * Returns the number of slots of an endpoint: the configured number for an engine service, the
   * registered number otherwise.
   *
   * @param service name of the endpoint's service
   * @param registered number of slots in the endpoint's registration
   */
  public int slots(String service, int registered) {
    ServiceOptions options = services.get(service);
    return options == null || options.engineSlots() == 0 ? registered : options.engineSlots();
  }

  /**
   * Returns the number of tokens that each endpoint of a service has memory for, 0 if it is not
   * known.
   */
  public int cacheTokens(String service) {
    ServiceOptions options = services.get(service);
    return options == null ? 0 : options.cacheTokens();
  }

  /**
   * Returns the route of a host with the longest prefix that matches the path, empty if there is
   * none.
   *
   * @param host value of the {@code Host} header, with or without port
   * @param path path without query
   */
  public Optional<Route> match(String host, String path) {
    HostRoutes hostRoutes = routesByHost.get(hostName(host));
    return hostRoutes == null ? Optional.empty() : hostRoutes.match(path);
  }

  /**
   * Returns the host of a {@code Host} header as routes name it.
   *
   * @param host value of the header, with or without port, not null
   */
  public static String hostName(String host) {
    int colon = host.indexOf(':');
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }
}
