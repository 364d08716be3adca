package org.sedgeroad.check;

import java.util.List;
import java.util.OptionalLong;
import org.sedgeroad.gateway.RouteKind;

/**
 * A decoded configuration whose entries know their places. Immutable; no component is null. Numbers
 * that are missing or not valid are 0 unless stated otherwise; the reader has reported them.
 *
 * @param format format in which it is written
 * @param root path of the configuration in its file, empty or ending with a dot
 * @param version version, 0 if it is not valid
 * @param routes routes with a name, in the order of the document
 * @param services services with a name
 * @param hasWorkspaces whether there is a list of workspaces, even an empty one
 * @param workspaces workspaces with a name
 * @param limits limits on clients, empty if not given
 */
public record ConfigurationDocument(
    ConfigurationFormat format,
    String root,
    long version,
    List<RouteEntry> routes,
    List<ServiceEntry> services,
    boolean hasWorkspaces,
    List<WorkspaceEntry> workspaces,
    ClientLimits limits) {

  /** Copies the lists. */
  public ConfigurationDocument {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    workspaces = List.copyOf(workspaces);
  }

  /** Returns the path of a field of the configuration. */
  String place(Field field) {
    return root + format.fieldName(field);
  }

  /** Returns the path of a field of an entry. */
  String place(String entry, Field field) {
    return entry + "." + format.fieldName(field);
  }

  /** Returns the name of a field, for use in reasons. */
  String name(Field field) {
    return format.fieldName(field);
  }

  /**
   * A route.
   *
   * @param place path of the entry
   * @param name name, not empty
   * @param host host in lower case
   * @param pathPrefix prefix of the path
   * @param kind kind; that of an unknown kind is {@link RouteKind#NON_IDEMPOTENT}
   * @param split services with their weights
   * @param priority priority, 0 is the highest
   * @param maximumEndpoints maximum number of endpoints for one request, at least 1
   * @param timeoutMillis timeout, in milliseconds
   * @param objectiveMillis objective, in milliseconds
   * @param resumable whether streams may be resumed
   * @param isPublic whether no key is needed
   * @param runTargetMillis time until the results of a job are due, in milliseconds
   * @param waitingTokens limit on waiting tokens of a batch route, 0 for none
   */
  public record RouteEntry(
      String place,
      String name,
      String host,
      String pathPrefix,
      RouteKind kind,
      List<SplitPart> split,
      long priority,
      long maximumEndpoints,
      long timeoutMillis,
      long objectiveMillis,
      boolean resumable,
      boolean isPublic,
      long runTargetMillis,
      long waitingTokens) {

    /** Copies the list. */
    public RouteEntry {
      split = List.copyOf(split);
    }

    /** Returns whether requests of the route may be sent to a service. */
    boolean uses(String service) {
      return split.stream().anyMatch(part -> part.service().equals(service));
    }
  }

  /** A service of a route with its weight; the place is that of the service's name. */
  public record SplitPart(String place, String service, long weight) {}

  /**
   * A service.
   *
   * @param place path of the entry
   * @param name name, not empty
   * @param engineSlots slots of each engine, 0 if not given
   * @param engineTokens memory of each engine in tokens, 0 if not given
   */
  public record ServiceEntry(String place, String name, long engineSlots, long engineTokens) {}

  /**
   * A workspace.
   *
   * @param place path of the entry
   * @param name name, not empty
   * @param priority priority, empty for that of the route
   * @param requestsPerSecond limit on its requests, 0 for none
   * @param burst requests beyond the rate
   * @param keys its keys
   */
  public record WorkspaceEntry(
      String place,
      String name,
      OptionalLong priority,
      double requestsPerSecond,
      double burst,
      List<KeyEntry> keys) {

    /** Copies the list. */
    public WorkspaceEntry {
      keys = List.copyOf(keys);
    }
  }

  /** A key, held as its digest. */
  public record KeyEntry(String place, String digest) {
    @Override
    public String toString() {
      return "key at " + place;
    }
  }

  /** Limits on clients, in bytes and milliseconds; empty if not given. */
  public record ClientLimits(
      OptionalLong headerBytes, OptionalLong bodyBytes, OptionalLong idleTimeoutMillis) {}
}
