package org.sedgeroad.placement;

/** The two classes of work that share the endpoints. */
public enum WorkClass {
  /** A client waits for the answer. */
  LIVE,
  /** An item of a batch job. */
  BATCH
}
