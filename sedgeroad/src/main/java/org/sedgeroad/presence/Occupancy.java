package org.sedgeroad.presence;

/**
 * Work of one instance at one endpoint.
 *
 * @param live live requests
 * @param batch batch items
 */
public record Occupancy(int live, int batch) {
  /** No work. */
  public static final Occupancy NONE = new Occupancy(0, 0);

  /** Returns the sum of this and another. */
  public Occupancy plus(int moreLive, int moreBatch) {
    return new Occupancy(live + moreLive, batch + moreBatch);
  }

  /** Returns whether there is no work. */
  public boolean isEmpty() {
    return live == 0 && batch == 0;
  }
}
