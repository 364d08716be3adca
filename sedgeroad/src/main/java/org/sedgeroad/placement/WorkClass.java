package org.sedgeroad.placement;

/** Classes of work that share the slots of the endpoints. */
public enum WorkClass {
  /** A request whose client waits for the answer. */
  LIVE,
  /** An item of a batch job. */
  BATCH
}
