package org.sedgeroad.metric;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Assigns label values to members. The first members seen are labelled with their names; all others
 * share the value {@code other}, which bounds the number of time series. Thread-safe.
 */
final class MemberLabels {
  private static final String OTHER = "other";
  private static final String NONE = "none";

  private final Map<String, String> labels = new ConcurrentHashMap<>();
  private final int maxMembers;

  MemberLabels(int maxMembers) {
    this.maxMembers = maxMembers;
  }

  /** Returns the label of a member, {@code none} for an empty name. */
  String of(String member) {
    if (member.isEmpty()) {
      return NONE;
    }
    String label = labels.get(member);
    if (label != null) {
      return label;
    }
    synchronized (labels) {
      if (labels.size() < maxMembers) {
        labels.put(member, member);
      }
      return labels.getOrDefault(member, OTHER);
    }
  }
}
