package org.sedgeroad.peer;

/** What is believed of an instance. */
public enum MemberState {
  /** Made progress lately. */
  LIVE,
  /** Made no progress for a while; still counts as live. */
  SUSPECTED,
  /** Made no progress for so long that its duties go to others. */
  DEAD,
  /** Said that it is leaving; its duties go to others. */
  LEAVING
}
