package org.sedgeroad.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reports which instances apply a member's limits.
 *
 * @param member the member
 * @param version version of the limits reported on
 * @param instances the instances in name order
 */
public record InForceReport(String member, long version, List<InstanceVersion> instances) {

  /** Creates a report with a copy of the list. */
  public InForceReport {
    instances = List.copyOf(instances);
  }

  /**
   * Returns the report on a member's limits.
   *
   * @param member the member
   * @param limits its limits
   * @param appliedVersions version up to which each instance has applied every change of the kind
   *     {@code limits}, for example from heartbeats and lease objects
   */
  public static InForceReport of(
      String member, MemberLimits limits, Map<String, Long> appliedVersions) {
    List<InstanceVersion> instances = new ArrayList<>();
    new TreeMap<>(appliedVersions)
        .forEach(
            (instance, applied) ->
                instances.add(
                    new InstanceVersion(
                        instance, versionAt(limits, applied), applied >= limits.version())));
    return new InForceReport(member, limits.version(), instances);
  }

  /** Returns whether each instance applies the limits. */
  public boolean isInForceEverywhere() {
    return instances.stream().allMatch(InstanceVersion::inForce);
  }

  private static long versionAt(MemberLimits limits, long applied) {
    long version = 0;
    for (OlderLimits older : limits.older()) {
      version = older.version() <= applied ? older.version() : version;
    }
    return limits.version() <= applied ? limits.version() : version;
  }
}
