package org.sedgeroad.testing.proxy;

/** A direction of the traffic through the proxy. */
public enum Direction {
  /** From the caller to the target. */
  REQUEST,
  /** From the target to the caller. */
  ANSWER
}
