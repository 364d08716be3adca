package org.sedgeroad.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.sedgeroad.check.ConfigurationDocument.RouteEntry;
import org.sedgeroad.check.ConfigurationDocument.ServiceEntry;
import org.sedgeroad.check.ConfigurationDocument.SplitPart;
import org.sedgeroad.check.ConfigurationDocument.WorkspaceEntry;
import org.sedgeroad.gateway.RouteKind;

/** Finds limits that contradict each other. */
final class LimitCheck {
  private static final double MILLIS_PER_SECOND = 1_000;

  private LimitCheck() {}

  /** Compares the times of each route; times that are not known are left out. */
  static List<Finding> times(ConfigurationDocument document) {
    List<Finding> findings = new ArrayList<>();
    for (RouteEntry route : document.routes()) {
      long objective = route.objectiveMillis();
      if (objective == 0) {
        continue;
      }
      if (route.kind() == RouteKind.BATCH) {
        if (route.runTargetMillis() > 0 && route.runTargetMillis() < objective) {
          findings.add(
              Finding.warning(
                  document.place(route.place(), Field.RUN_TARGET),
                  "is below "
                      + document.name(Field.OBJECTIVE)
                      + ", "
                      + objective
                      + " ms: results are due before the job must be accepted"));
        }
      } else if (route.timeoutMillis() > 0 && route.timeoutMillis() < objective) {
        findings.add(
            Finding.warning(
                document.place(route.place(), Field.TIMEOUT),
                "is below "
                    + document.name(Field.OBJECTIVE)
                    + ", "
                    + objective
                    + " ms: requests that could still be on time are refused"));
      }
    }
    return findings;
  }

  /**
   * Finds routes that allow more attempts than fit into the timeout, which also bounds requests
   * with a later deadline. An attempt is taken to last as long as the objective, because the answer
   * of an endpoint is on time until then.
   */
  static List<Finding> attempts(ConfigurationDocument document) {
    List<Finding> findings = new ArrayList<>();
    for (RouteEntry route : document.routes()) {
      boolean known =
          route.kind() != RouteKind.BATCH
              && route.objectiveMillis() > 0
              && route.timeoutMillis() >= route.objectiveMillis();
      long possible = known ? route.timeoutMillis() / route.objectiveMillis() : Long.MAX_VALUE;
      if (route.maximumEndpoints() > possible) {
        findings.add(
            Finding.warning(
                document.place(route.place(), Field.MAXIMUM_ENDPOINTS),
                String.format(
                    Locale.ROOT,
                    "%d attempts of %s %d ms each do not fit into %s %d ms; %d do",
                    route.maximumEndpoints(),
                    document.name(Field.OBJECTIVE),
                    route.objectiveMillis(),
                    document.name(Field.TIMEOUT),
                    route.timeoutMillis(),
                    possible)));
      }
    }
    return findings;
  }

  /**
   * Finds limits on waiting tokens below the largest item that an endpoint can run, which is as
   * large as the memory of the engine. A job with such an item could never be accepted.
   */
  static List<Finding> waitingTokens(ConfigurationDocument document) {
    Map<String, Long> largestItems = new HashMap<>();
    for (ServiceEntry service : document.services()) {
      largestItems.putIfAbsent(service.name(), service.engineTokens());
    }
    List<Finding> findings = new ArrayList<>();
    for (RouteEntry route : document.routes()) {
      long largest =
          route.split().stream()
              .map(SplitPart::service)
              .mapToLong(service -> largestItems.getOrDefault(service, 0L))
              .max()
              .orElse(0);
      if (route.waitingTokens() > 0 && route.waitingTokens() < largest) {
        findings.add(
            Finding.warning(
                document.place(route.place(), Field.WAITING_TOKENS),
                "is below "
                    + largest
                    + ", the largest item that an endpoint can run: a job with one is always"
                    + " refused"));
      }
    }
    return findings;
  }

  /** Finds quotas that allow less than one request, and bursts without a rate. */
  static List<Finding> quotas(ConfigurationDocument document, CheckOptions options) {
    List<Finding> findings = new ArrayList<>();
    for (WorkspaceEntry workspace : document.workspaces()) {
      double rate = workspace.requestsPerSecond();
      double burst = workspace.burst();
      String place = document.place(workspace.place(), Field.BURST);
      if (rate == 0 && burst > 0) {
        findings.add(
            Finding.warning(
                place,
                "has no effect: without " + document.name(Field.RATE) + " there is no limit"));
      } else if (rate > 0 && rate * options.quotaWindowMillis() / MILLIS_PER_SECOND + burst < 1) {
        findings.add(
            Finding.error(
                document.place(workspace.place(), Field.RATE),
                "with the burst allows less than one request in a window of "
                    + options.quotaWindowMillis()
                    + " ms: all requests are refused with 429"));
      } else if (burst > 0 && burst < 1) {
        findings.add(Finding.warning(place, "is below one request"));
      }
    }
    return findings;
  }

  /** Compares the rates of the workspaces with what the endpoints can serve. */
  static List<Finding> capacity(ConfigurationDocument document, CheckOptions options) {
    double sum =
        document.workspaces().stream().mapToDouble(WorkspaceEntry::requestsPerSecond).sum();
    if (sum == 0) {
      return List.of();
    }
    String place = document.place(Field.WORKSPACES);
    String rates = String.format(Locale.ROOT, "the sum of the rates is %.1f requests/s", sum);
    if (options.requestsPerSecond() == 0) {
      return List.of(
          Finding.note(place, rates + "; it is not checked, because the capacity was not given"));
    }
    return sum <= options.requestsPerSecond()
        ? List.of()
        : List.of(
            Finding.warning(
                place,
                rates
                    + String.format(
                        Locale.ROOT,
                        "; the endpoints can serve %.1f requests/s",
                        options.requestsPerSecond())));
  }
}
