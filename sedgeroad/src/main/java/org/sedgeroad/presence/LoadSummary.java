package org.sedgeroad.presence;

import java.util.Map;
import java.util.Objects;

/**
 * Summary of the load of several instances, sent by the hub of a failure domain. No component may
 * be null.
 *
 * @param scope whose load the totals contain
 * @param hub name of the instance that sent the summary
 * @param domain failure domain of the hub
 * @param incarnation number of the hub's process
 * @param sequence number of the summary, increasing within the incarnation and over all scopes
 * @param totals sums of the loads
 * @param reporters states of instances whose loads are in the totals, by name; a summary of the
 *     fleet may leave out instances of other failure domains
 */
public record LoadSummary(
    Scope scope,
    String hub,
    String domain,
    long incarnation,
    long sequence,
    LoadTotals totals,
    Map<String, ReporterState> reporters)
    implements LoadMessage {

  /** The instances whose loads a summary contains. */
  public enum Scope {
    /** The instances of the hub's failure domain; sent to the hubs of the other domains. */
    DOMAIN,
    /** All instances; sent to the instances of the hub's failure domain. */
    FLEET
  }

  /**
   * Copies the map.
   *
   * @throws NullPointerException if a component is null
   */
  public LoadSummary {
    Objects.requireNonNull(scope);
    Objects.requireNonNull(hub);
    Objects.requireNonNull(domain);
    Objects.requireNonNull(totals);
    reporters = Map.copyOf(reporters);
  }

  /** Returns a copy with another confirmation of the configuration. */
  LoadSummary withConfirmation(Confirmation next) {
    FleetDetails details = totals.details().withConfirmation(next);
    return new LoadSummary(
        scope, hub, domain, incarnation, sequence, totals.withDetails(details), reporters);
  }
}
