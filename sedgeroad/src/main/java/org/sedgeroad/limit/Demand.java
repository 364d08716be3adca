package org.sedgeroad.limit;

/**
 * Demand on a member's rate in this failure domain since the last measurement.
 *
 * @param usedPpm units granted, in parts per million of what was allowed
 * @param refused whether a sub-grant was refused for lack of units
 */
public record Demand(long usedPpm, boolean refused) {

  /** Returns the higher of two demands. */
  Demand or(Demand other) {
    return new Demand(Math.max(usedPpm, other.usedPpm), refused || other.refused);
  }
}
