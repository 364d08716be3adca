package org.sedgeroad.testing.experiment;

import java.util.Map;
import org.sedgeroad.testing.deployment.DeploymentPlan;

/**
 * Named set of policy settings that a deployment runs with.
 *
 * @param name name in the results
 * @param settings settings of the section {@code policy} by key; missing ones have their defaults
 */
record Policy(String name, Map<String, String> settings) {
  /** Default settings. */
  static final Policy DEFAULT = new Policy("default", Map.of());

  /** Round robin, batch items without regard to live requests, no hedged requests. */
  static final Policy ROUND_ROBIN = baseline("round-robin");

  /** Least outstanding requests, batch items without regard to live requests, no hedging. */
  static final Policy LEAST_OUTSTANDING = baseline("least-outstanding");

  private static Policy baseline(String routing) {
    return new Policy(
        routing, Map.of("routing", routing, "batch", "as-it-comes", "hedging", "none"));
  }

  /** Returns a copy of a plan with these settings. */
  DeploymentPlan apply(DeploymentPlan plan) {
    DeploymentPlan changed = plan;
    for (Map.Entry<String, String> setting : settings.entrySet()) {
      changed = changed.withSetting("policy." + setting.getKey(), setting.getValue());
    }
    return changed;
  }
}
