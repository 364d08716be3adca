package org.sedgeroad.testing.experiment;

import java.util.Map;
import org.sedgeroad.testing.deployment.DeploymentPlan;

/**
 * Policies that a deployment runs with.
 *
 * @param name name in the results
 * @param settings settings of section {@code policy} by key; missing ones keep the default
 */
record Policy(String name, Map<String, String> settings) {
  /** The defaults of the settings. */
  static final Policy DEFAULT = new Policy("default", Map.of());

  /** Round robin, batch as it comes, no second attempts. */
  static final Policy ROUND_ROBIN = baseline("round-robin");

  /** Least outstanding requests, batch as it comes, no second attempts. */
  static final Policy LEAST_OUTSTANDING = baseline("least-outstanding");

  private static Policy baseline(String routing) {
    return new Policy(
        routing, Map.of("routing", routing, "batch", "as-it-comes", "hedging", "none"));
  }

  /** Returns a plan with these settings. */
  DeploymentPlan apply(DeploymentPlan plan) {
    DeploymentPlan changed = plan;
    for (Map.Entry<String, String> setting : settings.entrySet()) {
      changed = changed.withSetting("policy." + setting.getKey(), setting.getValue());
    }
    return changed;
  }
}
