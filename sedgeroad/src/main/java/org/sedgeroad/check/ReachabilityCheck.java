package org.sedgeroad.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.sedgeroad.check.ConfigurationDocument.RouteEntry;
import org.sedgeroad.check.ConfigurationDocument.SplitPart;
import org.sedgeroad.check.ConfigurationDocument.WorkspaceEntry;

/** Finds entries that can never match a request, or make no difference. */
final class ReachabilityCheck {
  private ReachabilityCheck() {}

  /**
   * Finds routes with the host and prefix of an earlier one, routes whose host can't be that of a
   * request, and routes that a shorter prefix with the same services makes needless.
   */
  static List<Finding> routes(ConfigurationDocument document) {
    Map<String, Map<String, RouteEntry>> routesByHost = new HashMap<>();
    List<Finding> findings = new ArrayList<>();
    for (RouteEntry route : document.routes()) {
      RouteEntry first =
          routesByHost
              .computeIfAbsent(route.host(), host -> new HashMap<>())
              .putIfAbsent(route.pathPrefix(), route);
      if (first != null) {
        findings.add(
            Finding.error(
                document.place(route.place(), Field.PATH_PREFIX),
                "can never match: " + first.place() + " has the same host and prefix"));
      }
      if (route.host().contains(":")) {
        findings.add(
            Finding.warning(
                document.place(route.place(), Field.HOST),
                "can never match: hosts are compared without port"));
      }
    }
    for (RouteEntry route : document.routes()) {
      Map<String, RouteEntry> sameHost = routesByHost.get(route.host());
      if (sameHost.get(route.pathPrefix()) == route) {
        covering(route, sameHost)
            .filter(other -> shares(other).equals(shares(route)))
            .ifPresent(other -> findings.add(covered(document, route, other)));
      }
    }
    return findings;
  }

  /** Returns the route that would match the requests of another one if that did not exist. */
  private static Optional<RouteEntry> covering(RouteEntry route, Map<String, RouteEntry> sameHost) {
    String prefix = route.pathPrefix();
    for (int length = prefix.length() - 1; length > 0; length--) {
      RouteEntry other =
          prefix.charAt(length - 1) == '/' ? sameHost.get(prefix.substring(0, length)) : null;
      if (other != null) {
        return Optional.of(other);
      }
    }
    return Optional.empty();
  }

  /** Returns the fraction of the requests for each service that has any. */
  private static Map<String, Double> shares(RouteEntry route) {
    double sum = route.split().stream().mapToLong(SplitPart::weight).sum();
    return route.split().stream()
        .filter(part -> part.weight() > 0)
        .collect(Collectors.toMap(SplitPart::service, part -> part.weight() / sum, Double::sum));
  }

  private static Finding covered(
      ConfigurationDocument document, RouteEntry route, RouteEntry other) {
    List<Field> differing = RouteDifferences.between(route, other);
    differing.removeAll(List.of(Field.PATH_PREFIX, Field.SPLIT));
    String place = document.place(route.place(), Field.PATH_PREFIX);
    String reason = "is covered by " + other.place() + " with the same service";
    return differing.isEmpty()
        ? Finding.warning(place, reason + ": the entry has no effect")
        : Finding.note(
            place,
            reason
                + "; it only changes "
                + differing.stream().map(document::name).collect(Collectors.joining(", ")));
  }

  /** Finds parts of a split that receive no request. */
  static List<Finding> weights(ConfigurationDocument document) {
    List<Finding> findings = new ArrayList<>();
    for (RouteEntry route : document.routes()) {
      if (!route.split().isEmpty() && route.split().stream().allMatch(part -> part.weight() == 0)) {
        findings.add(
            Finding.error(document.place(route.place(), Field.SPLIT), "has no weight above 0"));
        continue;
      }
      for (SplitPart part : route.split()) {
        if (part.weight() == 0) {
          findings.add(
              Finding.warning(
                  part.place(),
                  "can never match: its weight is 0, so service "
                      + QuotedText.of(part.service())
                      + " gets no request of this route"));
        }
      }
    }
    return findings;
  }

  /** Finds workspaces that no request can belong to. */
  static List<Finding> workspaces(ConfigurationDocument document) {
    List<Finding> findings = new ArrayList<>();
    if (document.hasWorkspaces() && document.workspaces().isEmpty()) {
      findings.add(
          Finding.warning(
              document.place(Field.WORKSPACES),
              "has no workspace: requests on all routes that are not public are refused with 401"));
    }
    for (WorkspaceEntry workspace : document.workspaces()) {
      if (workspace.keys().isEmpty()) {
        findings.add(
            Finding.warning(
                document.place(workspace.place(), Field.KEYS),
                "can never match: workspace "
                    + QuotedText.of(workspace.name())
                    + " has no key that can be sent"));
      }
    }
    return findings;
  }

  /** Finds services that no route names. */
  static List<Finding> services(ConfigurationDocument document) {
    Set<String> named =
        document.routes().stream()
            .flatMap(route -> route.split().stream())
            .map(SplitPart::service)
            .collect(Collectors.toSet());
    return document.services().stream()
        .filter(service -> !named.contains(service.name()))
        .map(
            service ->
                Finding.warning(
                    service.place(),
                    "can never match: no route names service " + QuotedText.of(service.name())))
        .toList();
  }
}
