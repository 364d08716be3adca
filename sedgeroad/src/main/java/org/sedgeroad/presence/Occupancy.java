package org.sedgeroad.presence;

/**
 * Work of one instance at one endpoint.
 *
 * @param live number of live requests
 * @param batch number of batch items
 */
public record Occupancy(int live, int batch) {
  /** No work. */
  public static final Occupancy NONE = new Occupancy(0, 0);

  /** Returns this occupancy with the given changes added; a change may be negative. */
  public Occupancy plus(int moreLive, int moreBatch) {
    return new Occupancy(live + moreLive, batch + moreBatch);
  }

  /** Returns whether there is no work. */
  public boolean isEmpty() {
    return live == 0 && batch == 0;
  }
}
