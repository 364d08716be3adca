package org.sedgeroad.peer;

/** State of an instance as seen by this one. */
public enum MemberState {
  /** The instance made progress recently. */
  LIVE,
  /** The instance has made no progress for some time; it still counts as live. */
  SUSPECTED,
  /**
   * The instance is considered failed, since it has made no progress for longer still; others take
   * over its responsibilities.
   */
  DEAD,
  /** The instance announced that it is leaving; others take over its responsibilities. */
  LEAVING
}
