package org.sedgeroad.batch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongUnaryOperator;
import org.sedgeroad.gateway.Route;
import org.sedgeroad.gateway.RouteKind;
import org.sedgeroad.gateway.RouteTable;
import org.sedgeroad.gateway.RouteTableHolder;

/**
 * The batch routes of jobs in the current configuration. Must be used on the event loop.
 *
 * <p>A job without a route is in one of two states. If this instance has a configuration that is
 * older than the one under which the job was accepted, or none, it does not know the route yet.
 * Otherwise the route was dropped: it may no longer be used, and the items that are not finished
 * will not run unless the route is added again.
 */
final class JobRoutes {
  /**
   * Time after which the items of a dropped route are given up, in milliseconds. A route that
   * returns sooner keeps them.
   */
  static final long RETURN_MILLIS = 7_000;

  private record DroppedRoute(String host, String pathPrefix) {}

  private final RouteTableHolder holder;
  private final LongUnaryOperator newestPeerVersion;
  private final Map<DroppedRoute, Long> droppedNanos = new HashMap<>();
  private RouteTable observed = RouteTable.EMPTY;
  private long firstKnownNanos;

  /** Newest version of another instance at the time of the sample. */
  private long sampledVersion;

  private long sampledNanos;

  /**
   * Last time at which no other instance had a newer configuration than this one has now. With
   * frequent changes another instance may always be newer.
   */
  private long upToDateNanos;

  /**
   * Creates the routes of jobs.
   *
   * @param holder holder of the current route table, not null
   * @param newestPeerVersion returns the newest configuration version that another instance has in
   *     force at a monotonic time in nanoseconds, 0 if unknown; not null
   */
  JobRoutes(RouteTableHolder holder, LongUnaryOperator newestPeerVersion) {
    this.holder = holder;
    this.newestPeerVersion = newestPeerVersion;
  }

  /** Returns the batch route that a job has now, empty if it is not known or was dropped. */
  Optional<Route> find(JobHead job) {
    return batchRoute(holder.current(), job.host(), job.path());
  }

  /**
   * Returns the name under which the tokens of a job count against a limit: that of its route, or
   * of the route that it was accepted on while it has none, with the job's workspace.
   */
  String limitName(JobHead job) {
    return limitName(find(job).map(Route::name).orElse(job.route()), job.workspace());
  }

  /** Returns the name of the limit on the waiting tokens of a workspace on a route. */
  static String limitName(String route, String workspace) {
    return workspace.isEmpty() ? route : route + "/" + workspace;
  }

  /**
   * Records the routes that the current configuration has dropped since the last call, and up to
   * when it is as new as those of the other instances. Called several times a second.
   */
  void observe(long nowNanos) {
    RouteTable current = holder.current();
    if (current != observed) {
      recordDroppedRoutes(current, nowNanos);
    }
    if (observed.version() >= sampledVersion) {
      upToDateNanos = sampledNanos;
      sampledVersion = newestPeerVersion.applyAsLong(nowNanos);
      sampledNanos = nowNanos;
    }
    if (observed.version() >= sampledVersion) {
      upToDateNanos = nowNanos;
    }
  }

  private void recordDroppedRoutes(RouteTable current, long nowNanos) {
    if (observed.version() == 0) {
      firstKnownNanos = nowNanos;
      sampledNanos = nowNanos;
    }
    droppedNanos.values().removeIf(dropped -> hasWaited(dropped, upToDateNanos));
    for (Route route : observed.routes()) {
      if (route.kind() == RouteKind.BATCH
          && batchRoute(current, route.host(), route.pathPrefix()).isEmpty()) {
        droppedNanos.put(new DroppedRoute(route.host(), route.pathPrefix()), nowNanos);
      }
    }
    observed = current;
  }

  /**
   * Returns whether the route of a job has ended: it was dropped and did not return in time. The
   * items that are not finished are to be given up.
   */
  boolean hasEnded(JobHead job, long nowNanos) {
    observe(nowNanos);
    boolean dropped = observed.version() > job.configurationVersion() && find(job).isEmpty();
    return dropped && hasWaited(droppedSinceNanos(job), upToDateNanos);
  }

  /**
   * Returns since when a job is known to have no route. A route that was dropped earlier than
   * {@link #RETURN_MILLIS} ago, or before the first configuration of this process, is not recorded.
   */
  private long droppedSinceNanos(JobHead job) {
    long since = firstKnownNanos;
    for (Map.Entry<DroppedRoute, Long> dropped : droppedNanos.entrySet()) {
      DroppedRoute route = dropped.getKey();
      boolean matches =
          route.host().equals(RouteTable.hostName(job.host()))
              && job.path().startsWith(route.pathPrefix());
      if (matches && dropped.getValue() - since > 0) {
        since = dropped.getValue();
      }
    }
    return since;
  }

  private static boolean hasWaited(long sinceNanos, long nowNanos) {
    return nowNanos - sinceNanos >= RETURN_MILLIS * 1_000_000L;
  }

  private static Optional<Route> batchRoute(RouteTable table, String host, String path) {
    return table.match(host, path).filter(route -> route.kind() == RouteKind.BATCH);
  }
}
