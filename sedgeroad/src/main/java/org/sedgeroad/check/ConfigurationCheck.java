package org.sedgeroad.check;

import java.util.ArrayList;
import java.util.List;

/** Runs all checks of one configuration. */
public final class ConfigurationCheck {
  private ConfigurationCheck() {}

  /**
   * Returns what is found in a document that was read, other than the findings of its reader.
   *
   * @param document document, not null
   * @param options options, not null
   */
  public static List<Finding> check(ConfigurationDocument document, CheckOptions options) {
    List<Finding> findings = new ArrayList<>();
    findings.addAll(ReferenceCheck.unknownServices(document));
    findings.addAll(ReferenceCheck.duplicateNames(document));
    findings.addAll(ReferenceCheck.repeatedKeys(document));
    findings.addAll(ReachabilityCheck.routes(document));
    findings.addAll(ReachabilityCheck.weights(document));
    findings.addAll(ReachabilityCheck.workspaces(document));
    findings.addAll(ReachabilityCheck.services(document));
    findings.addAll(LimitCheck.times(document));
    findings.addAll(LimitCheck.attempts(document));
    findings.addAll(LimitCheck.waitingTokens(document));
    findings.addAll(LimitCheck.quotas(document, options));
    findings.addAll(LimitCheck.capacity(document, options));
    return findings;
  }
}
