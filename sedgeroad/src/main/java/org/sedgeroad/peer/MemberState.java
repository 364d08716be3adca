package org.sedgeroad.peer;

/** State of an instance as seen by this instance. */
public enum MemberState {
  /** A newer heartbeat of the instance was seen recently, directly or through other instances. */
  LIVE,
  /** No newer heartbeat of the instance was seen for some time; it still counts as live. */
  SUSPECTED,
  /**
   * No newer heartbeat was seen for even longer, so the instance is considered failed, which is
   * what dead means here; others take over its responsibilities.
   */
  DEAD,
  /** The instance announced that it is leaving; others take over its responsibilities. */
  LEAVING
}
