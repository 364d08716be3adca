package org.sedgeroad.access;

/** What is known of the age of the configuration in force. */
public enum Freshness {
  /** It was the newest version recently enough, or its age is not bounded. */
  CURRENT,
  /** Another instance has a newer version. */
  OUTDATED,
  /** It is not known to have been the newest version recently enough. */
  EXPIRED
}
