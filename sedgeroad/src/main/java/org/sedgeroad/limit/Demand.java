package org.sedgeroad.limit;

/**
 * Demand for a member's rate in this failure domain since the last measurement.
 *
 * @param usedPpm units granted, in parts per million of the units that were allowed
 * @param refused whether a sub-grant was refused for lack of units
 */
public record Demand(long usedPpm, boolean refused) {

  /** Returns the combination of two demands: the higher use, refused if either was. */
  Demand or(Demand other) {
    return new Demand(Math.max(usedPpm, other.usedPpm), refused || other.refused);
  }
}
