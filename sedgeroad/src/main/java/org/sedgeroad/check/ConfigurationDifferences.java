package org.sedgeroad.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.sedgeroad.check.ConfigurationDocument.RouteEntry;
import org.sedgeroad.check.ConfigurationDocument.ServiceEntry;
import org.sedgeroad.check.ConfigurationDocument.WorkspaceEntry;
import org.sedgeroad.gateway.RouteKind;

/** Lists the differences of a configuration from the one in force, with their effects. */
public final class ConfigurationDifferences {
  private final ConfigurationDocument next;
  private final ConfigurationDocument current;
  private final List<Finding> findings = new ArrayList<>();

  private ConfigurationDifferences(ConfigurationDocument next, ConfigurationDocument current) {
    this.next = next;
    this.current = current;
  }

  /**
   * Returns the differences as notes. A version that is not above the one in force is an error,
   * because instances ignore it, unless both configurations are the same. Entries that were removed
   * are named by {@link #placeInForce}.
   *
   * @param next configuration that is checked, not null
   * @param current configuration in force, not null
   */
  public static List<Finding> between(ConfigurationDocument next, ConfigurationDocument current) {
    ConfigurationDifferences differences = new ConfigurationDifferences(next, current);
    differences.compareRoutes();
    differences.compareServices();
    differences.compareWorkspaces();
    differences.compareLimits();
    differences.compareVersions();
    return differences.findings;
  }

  private void note(String place, String reason) {
    findings.add(Finding.note(place, reason));
  }

  /** Returns a path in the configuration in force, which begins with {@code against:}. */
  static String placeInForce(String place) {
    return "against:" + place;
  }

  private void compareVersions() {
    boolean isSame = next.version() == current.version() && findings.isEmpty();
    if (next.version() <= current.version() && !isSame) {
      findings.add(
          Finding.error(
              next.place(Field.VERSION),
              next.version()
                  + " is not above "
                  + current.version()
                  + ", the version in force: instances ignore it"));
    }
  }

  /** Compares two lists by name; of entries with the same name, the first counts. */
  private static <T> void compare(
      List<T> next,
      List<T> current,
      Function<T, String> name,
      Consumer<T> added,
      Consumer<T> removed,
      BiConsumer<T, T> kept) {
    Map<String, T> remaining = new LinkedHashMap<>();
    current.forEach(entry -> remaining.putIfAbsent(name.apply(entry), entry));
    Map<String, T> unique = new LinkedHashMap<>();
    next.forEach(entry -> unique.putIfAbsent(name.apply(entry), entry));
    unique.forEach(
        (key, entry) -> {
          T before = remaining.remove(key);
          if (before == null) {
            added.accept(entry);
          } else {
            kept.accept(entry, before);
          }
        });
    remaining.values().forEach(removed);
  }

  private void compareRoutes() {
    compare(
        next.routes(),
        current.routes(),
        RouteEntry::name,
        route ->
            note(
                route.place(),
                "route " + QuotedText.of(route.name()) + " is added: " + match(route)),
        this::removedRoute,
        this::changedRoute);
  }

  private static String match(RouteEntry route) {
    return QuotedText.of(route.host())
        + " "
        + QuotedText.of(route.pathPrefix())
        + " to "
        + RouteDifferences.text(route, Field.SPLIT);
  }

  /** States which route matches the requests of a route that was removed. */
  private void removedRoute(RouteEntry route) {
    String effect =
        next.routes().stream()
            .filter(other -> other.host().equals(route.host()))
            .filter(other -> !other.pathPrefix().isEmpty())
            .filter(other -> route.pathPrefix().startsWith(other.pathPrefix()))
            .max(Comparator.comparingInt(other -> other.pathPrefix().length()))
            .map(other -> "its requests are matched by " + QuotedText.of(other.name()))
            .orElse("its requests are answered with 404");
    String items =
        route.kind() == RouteKind.BATCH
            ? "; its waiting items are given up unless a route for them returns within seconds"
            : "";
    note(
        placeInForce(route.place()),
        "route " + QuotedText.of(route.name()) + " is removed: " + effect + items);
  }

  private void changedRoute(RouteEntry route, RouteEntry before) {
    for (Field field : RouteDifferences.between(route, before)) {
      note(
          next.place(route.place(), field),
          "route "
              + QuotedText.of(route.name())
              + ": "
              + RouteDifferences.text(before, field)
              + " becomes "
              + RouteDifferences.text(route, field)
              + effect(route, before, field));
    }
  }

  /** Returns the effect of a changed field of a route, beginning with a colon, empty if obvious. */
  private String effect(RouteEntry route, RouteEntry before, Field field) {
    return switch (field) {
      case HOST, PATH_PREFIX ->
          ": requests to the earlier one are matched by another route or none";
      case KIND -> ": whether requests may run again changes";
      case SPLIT -> ": new requests go to other services or in other shares";
      case PRIORITY ->
          route.priority() < before.priority()
              ? ": its waiting requests come earlier"
              : ": its waiting requests come later";
      case MAXIMUM_ENDPOINTS ->
          route.maximumEndpoints() < before.maximumEndpoints()
              ? ": requests are given up after fewer attempts"
              : ": requests may be sent to more endpoints";
      case TIMEOUT ->
          route.timeoutMillis() < before.timeoutMillis()
              ? ": unanswered requests are refused earlier"
              : ": unanswered requests are refused later";
      case OBJECTIVE ->
          route.objectiveMillis() < before.objectiveMillis()
              ? ": answers have to arrive earlier to be on time"
              : ": answers that arrive later are on time";
      case RUN_TARGET ->
          route.runTargetMillis() < before.runTargetMillis()
              ? ": results of jobs are due earlier"
              : ": results of jobs are due later";
      case RESUMABLE ->
          route.resumable()
              ? ": broken streams continue at another endpoint"
              : ": broken streams end";
      case PUBLIC ->
          !next.hasWorkspaces()
              ? ": no effect without workspaces"
              : route.isPublic() ? ": no key is needed" : ": a key is needed";
      case WAITING_TOKENS ->
          route.waitingTokens() != 0
                  && (before.waitingTokens() == 0 || route.waitingTokens() < before.waitingTokens())
              ? ": jobs are refused earlier"
              : ": more jobs are accepted";
      default -> "";
    };
  }

  private void compareServices() {
    compare(
        next.services(),
        current.services(),
        ServiceEntry::name,
        service -> note(service.place(), "service " + QuotedText.of(service.name()) + " is added"),
        service ->
            note(
                placeInForce(service.place()),
                "service "
                    + QuotedText.of(service.name())
                    + " is removed: its endpoints get no requests"),
        (service, before) -> {
          String name = "service " + QuotedText.of(service.name()) + ": ";
          if (service.engineSlots() != before.engineSlots()) {
            note(
                next.place(service.place(), Field.ENGINE_SLOTS),
                name + slots(before) + " becomes " + slots(service) + " for each endpoint");
          }
          if (service.engineTokens() != before.engineTokens()) {
            note(
                next.place(service.place(), Field.ENGINE_TOKENS),
                name
                    + before.engineTokens()
                    + " becomes "
                    + service.engineTokens()
                    + ": the memory that is assumed for each endpoint, 0 if unknown");
          }
        });
  }

  private static String slots(ServiceEntry service) {
    return service.engineSlots() == 0
        ? "the registered number of slots"
        : service.engineSlots() + " slots";
  }

  private void compareWorkspaces() {
    if (next.hasWorkspaces() && !current.hasWorkspaces()) {
      note(
          next.place(Field.WORKSPACES),
          "workspaces are introduced: requests on routes that are not public need a key");
    } else if (!next.hasWorkspaces() && current.hasWorkspaces()) {
      note(
          next.place(Field.WORKSPACES),
          "workspaces are removed as a whole: no request needs a key, and no quota applies");
    }
    compare(
        next.workspaces(),
        current.workspaces(),
        WorkspaceEntry::name,
        workspace ->
            note(workspace.place(), "workspace " + QuotedText.of(workspace.name()) + " is added"),
        workspace ->
            note(
                placeInForce(workspace.place()),
                "workspace "
                    + QuotedText.of(workspace.name())
                    + " is removed: nobody can read or end its jobs, which continue"),
        this::changedWorkspace);
    findings.addAll(KeyDifferences.between(next, current));
  }

  private void changedWorkspace(WorkspaceEntry workspace, WorkspaceEntry before) {
    if (!workspace.priority().equals(before.priority())) {
      note(
          next.place(workspace.place(), Field.PRIORITY),
          "workspace "
              + QuotedText.of(workspace.name())
              + ": "
              + priority(before.priority())
              + " becomes "
              + priority(workspace.priority()));
    }
    compareAmounts(
        workspace, Field.RATE, before.requestsPerSecond(), workspace.requestsPerSecond());
    compareAmounts(workspace, Field.BURST, before.burst(), workspace.burst());
  }

  private static String priority(OptionalLong priority) {
    return priority.isPresent() ? "priority " + priority.getAsLong() : "the priority of the route";
  }

  private void compareAmounts(WorkspaceEntry workspace, Field field, double before, double after) {
    if (before == after) {
      return;
    }
    boolean isLower = field == Field.BURST ? after < before : limit(after) < limit(before);
    note(
        next.place(workspace.place(), field),
        "workspace "
            + QuotedText.of(workspace.name())
            + ": "
            + before
            + " becomes "
            + after
            + (isLower
                ? ": requests beyond the new quota are refused within one window"
                : ": more requests are accepted"));
  }

  /** Returns a rate as a limit: 0 stands for none. */
  private static double limit(double rate) {
    return rate == 0 ? Double.POSITIVE_INFINITY : rate;
  }

  private void compareLimits() {
    compareLimit(Field.HEADER_BYTES, current.limits().headerBytes(), next.limits().headerBytes());
    compareLimit(Field.BODY_BYTES, current.limits().bodyBytes(), next.limits().bodyBytes());
    compareLimit(
        Field.IDLE_TIMEOUT,
        current.limits().idleTimeoutMillis(),
        next.limits().idleTimeoutMillis());
  }

  private void compareLimit(Field field, OptionalLong before, OptionalLong after) {
    if (!before.equals(after)) {
      note(next.place(next.place(Field.LIMITS), field), text(before) + " becomes " + text(after));
    }
  }

  private static String text(OptionalLong limit) {
    return limit.isPresent() ? String.valueOf(limit.getAsLong()) : "the default";
  }
}
